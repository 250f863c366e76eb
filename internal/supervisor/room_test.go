package supervisor

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/structs"
)

// bench is a room with one linked gateway and a server with room for 4 tasks.
type bench struct {
	t       *testing.T
	room    *Supervisor
	now     time.Duration
	gateway structs.GatewayRef
	starts  []RunRef
	stops   []RunRef
	events  []structs.PlacementEvent
	reports []*structs.ServerReport
	drops   int
	seq     uint64
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: time.Second, gateway: structs.GatewayRef{ID: "g", Incarnation: 1}}
	b.room = New(b.now, Options{
		Self: structs.AgentRef{ID: "a", Incarnation: 1}, Zone: "z", RunLease: time.Second,
		TaskName: func(job string, step, index int) string { return job + strconv.Itoa(step) + strconv.Itoa(index) },
	})
	b.room.SetServer(b.now, Server{ID: "s", StartTime: 10, Service: "svc", Capacity: structs.Resources{CPU: 4000}})
	b.room.HandleList(b.now, RunList{StartTime: 10})
	b.room.GatewayLinked(b.now, &structs.Resume{Gateway: b.gateway})
	b.flush()
	return b
}

func (b *bench) flush() {
	for _, action := range b.room.Flush(b.now) {
		switch action := action.(type) {
		case CallStart:
			b.starts = append(b.starts, action.RunRef)
		case CallStop:
			b.stops = append(b.stops, action.RunRef)
		case CloseLink:
			b.drops++
		case Send:
			switch m := action.Message.(type) {
			case *structs.PlacementEvents:
				b.events = append(b.events, m.Events...)
			case *structs.ServerReport:
				b.reports = append(b.reports, m)
			}
		}
	}
}

// pass lets time pass in steps below structs.FreezeGap, with a word from the gateway at each if it is heard.
func (b *bench) pass(d time.Duration, heard bool) {
	const step = 100 * time.Millisecond
	for end := b.now + d; b.now < end; {
		b.now += min(step, end-b.now)
		if heard {
			b.room.RecordContact(b.now, b.gateway)
		}
		b.flush()
	}
}

// place places count tasks with ids from first on.
func (b *bench) place(job string, first uint64, count int, change func(*structs.Place)) {
	b.seq++
	m := &structs.Place{Seq: b.seq, Job: job, Need: structs.Resources{CPU: 1000}, ExpectedRunTime: 50 * time.Millisecond}
	for i := range count {
		m.Tasks = append(m.Tasks, structs.PlacedTask{ID: first + uint64(i), Index: i, Run: 1})
	}
	if change != nil {
		change(m)
	}
	b.room.Place(b.now, b.gateway, m)
	b.flush()
}

func (b *bench) answerStarts(answer Answer) {
	starts := b.starts
	b.starts = nil
	for _, ref := range starts {
		b.room.StartAnswered(b.now, ref, answer)
	}
	b.now += time.Millisecond
	b.flush()
}

func (b *bench) kinds() []structs.PlacementEventKind {
	var kinds []structs.PlacementEventKind
	for _, e := range b.events {
		kinds = append(kinds, e.Kind)
	}
	b.events = nil
	return kinds
}

// TestOneLostListKeepsTheRoomOpen guards against a server that loses single calls and counts as dead (incident inc-d730),
// and against one that is dead and counts as sound.
func TestOneLostListKeepsTheRoomOpen(t *testing.T) {
	b := newBench(t)
	b.reports = nil
	b.room.ListFailed(b.now, false)
	b.flush()
	require.Empty(t, b.reports)
	require.True(t, b.room.HasUnansweredCalls())
	b.room.ListFailed(b.now, false)
	b.flush()
	require.Len(t, b.reports, 1)
	require.False(t, b.reports[0].Open)
	b.room.HandleList(b.now, RunList{StartTime: 10, RequestedAt: b.now})
	b.flush()
	require.True(t, b.reports[1].Open)
}

// TestRunsOfADeadServerEnd guards against tasks that stay with a server that does not answer, and against tasks that are
// given up while their lease may still last.
func TestRunsOfADeadServerEnd(t *testing.T) {
	b := newBench(t)
	b.place("j", 1, 1, nil)
	b.room.LeaseRenewalSent(b.now)
	b.answerStarts(AnswerOK)
	b.room.ListFailed(b.now, false)
	b.room.ListFailed(b.now, false)
	b.pass(900*time.Millisecond, true)
	require.Empty(t, b.kinds(), "the lease may last")
	require.False(t, b.room.CanRenewLease())
	b.pass(200*time.Millisecond, true)
	require.Equal(t, []structs.PlacementEventKind{structs.PlacementLost}, b.kinds())
	b.place("k", 2, 1, nil)
	require.Equal(t, []structs.PlacementEventKind{structs.PlacementClosed}, b.kinds())
	require.Len(t, b.starts, 0)
}

// TestSilentGatewayLosesItsTasks guards against tasks of a frozen gateway that still run when its callers have sent their
// jobs again, 1.3 s later.
func TestSilentGatewayLosesItsTasks(t *testing.T) {
	b := newBench(t)
	b.place("j", 1, 2, nil)
	b.answerStarts(AnswerOK)
	b.pass(800*time.Millisecond, false)
	require.Empty(t, b.stops)
	b.pass(100*time.Millisecond, false)
	require.Len(t, b.stops, 2)
}

// TestFrozenAgentDropsItsLinks guards against placements that waited in a socket while the agent was frozen.
func TestFrozenAgentDropsItsLinks(t *testing.T) {
	b := newBench(t)
	b.now += 2 * time.Second
	b.place("j", 1, 1, nil)
	require.Equal(t, 1, b.drops)
	require.Empty(t, b.starts)
}

// TestWaitingTasksGoBack guards against tasks that wait at an agent until their job is late, and against urgent tasks
// that wait behind others.
func TestWaitingTasksGoBack(t *testing.T) {
	b := newBench(t)
	b.place("j", 1, 4, nil)
	b.answerStarts(AnswerOK)
	b.place("late", 10, 1, func(m *structs.Place) { m.Priority, m.StartWithin = 1, 40*time.Millisecond })
	b.place("urgent", 11, 1, nil)
	require.Equal(t, []structs.PlacementEventKind{structs.PlacementNoResources}, b.kinds(), "one may wait, the urgent one")
	b.room.HandleList(b.now, RunList{StartTime: 10, RequestedAt: b.now, Ended: []ListedEnd{{RunRef: RunRef{"j00", 1}, Number: 1, End: EndDone}},
		Running: []ListedRun{{RunRef: RunRef{"j01", 1}}, {RunRef: RunRef{"j02", 1}}, {RunRef: RunRef{"j03", 1}}}})
	b.flush()
	require.Equal(t, []RunRef{{"urgent00", 1}}, b.starts)
	b.kinds()
	b.place("late", 12, 1, func(m *structs.Place) { m.Priority, m.StartWithin = 1, 40*time.Millisecond })
	b.pass(100*time.Millisecond, true)
	require.Equal(t, []structs.PlacementEventKind{structs.PlacementNoResources}, b.kinds())
}

// TestAgentStartsAgain guards against an agent that answers gateways before it knows what the agent before it has left
// running, and against a second run beside one that is found.
func TestAgentStartsAgain(t *testing.T) {
	b := newBench(t)
	b.room = New(b.now, b.room.options)
	b.room.GatewayLinked(b.now, &structs.Resume{Gateway: b.gateway, Tasks: []structs.ResumedTask{
		{ID: 1, Job: "j", Run: 1, Need: structs.Resources{CPU: 1000}}, {ID: 2, Job: "gone", Run: 1},
	}})
	b.flush()
	require.Empty(t, b.kinds())
	b.room.SetServer(b.now, Server{ID: "s", StartTime: 10, Service: "svc", Capacity: structs.Resources{CPU: 4000}})
	b.room.HandleList(b.now, RunList{StartTime: 10, RequestedAt: b.now, Running: []ListedRun{{RunRef: RunRef{"j00", 2}}, {RunRef: RunRef{"other", 1}}}})
	b.flush()
	require.Equal(t, []structs.PlacementEventKind{structs.PlacementLost}, b.kinds(), "the task that is not there")
	b.pass(ClaimTimeout, true)
	require.Equal(t, []RunRef{{"other", 1}}, b.stops, "nobody claims it")
	b.room.HandleList(b.now, RunList{StartTime: 10, RequestedAt: b.now, Ended: []ListedEnd{{RunRef: RunRef{"j00", 2}, Number: 1, End: EndDone}}})
	b.flush()
	require.Equal(t, []structs.PlacementEventKind{structs.PlacementDone}, b.kinds())
}

// TestLateReportsOfAnEarlierBirth guards against a delayed list or heartbeat that is taken for a restart of the server.
func TestLateReportsOfAnEarlierBirth(t *testing.T) {
	b := newBench(t)
	asked := b.now
	b.now += time.Millisecond
	b.room.SetServer(b.now, Server{ID: "s", StartTime: 20, Service: "svc", Capacity: structs.Resources{CPU: 4000}})
	b.place("j", 1, 1, nil)
	b.answerStarts(AnswerOK)
	b.room.HandleList(b.now, RunList{StartTime: 10, RequestedAt: asked})
	b.room.SetServer(b.now, Server{ID: "s", StartTime: 10, Service: "svc", Capacity: structs.Resources{CPU: 1}})
	b.flush()
	require.Empty(t, b.kinds())
	require.True(t, b.room.HasActiveRuns())
}

// TestBirthWithTheClockSetBack guards against a restarted server that is ignored because its time of day was set back.
func TestBirthWithTheClockSetBack(t *testing.T) {
	b := newBench(t)
	b.place("j", 1, 1, nil)
	b.answerStarts(AnswerOK)
	b.room.HandleList(b.now, RunList{StartTime: 5, RequestedAt: b.now})
	b.flush()
	require.Equal(t, []structs.PlacementEventKind{structs.PlacementLost}, b.kinds())
	require.False(t, b.room.HasActiveRuns())
}

// TestTokenRisesWithABirth guards against an unanswered start of before that reaches a server which has forgotten its stop,
// and against one that was carried out there before the first call with the new token.
func TestTokenRisesWithABirth(t *testing.T) {
	b := newBench(t)
	b.place("j", 1, 2, nil)
	b.answerStarts(AnswerNone)
	before := b.room.Token()
	b.stops = nil
	b.room.SetServer(b.now, Server{ID: "s", StartTime: 11, Service: "svc", Capacity: structs.Resources{CPU: 4000}})
	b.flush()
	require.Greater(t, b.room.Token(), before)
	require.Empty(t, b.stops, "the token is enough")
	b.room.HandleList(b.now, RunList{StartTime: 11, RequestedAt: b.now})
	b.flush()
	require.Empty(t, b.kinds(), "the list may have been asked for with the old token")
	b.now += time.Millisecond
	b.room.HandleList(b.now, RunList{StartTime: 11, RequestedAt: b.now, Running: []ListedRun{{RunRef: RunRef{"j00", 1}}}})
	b.flush()
	require.Equal(t, []structs.PlacementEventKind{structs.PlacementUnhealthy}, b.kinds(), "one is not there")
	require.Equal(t, []RunRef{{"j00", 1}}, b.stops)
}

// TestRefusedTokenRises guards against an agent whose clock was set back and that no server obeys.
func TestRefusedTokenRises(t *testing.T) {
	b := newBench(t)
	before := b.room.Token()
	b.room.TokenRejected(b.now, before)
	b.room.TokenRejected(b.now, before) // the answer to an order sent before
	require.Equal(t, before+tokenStep, b.room.Token())
}

// TestLargeTaskDoesNotStarve guards against small tasks that always pass a large one.
func TestLargeTaskDoesNotStarve(t *testing.T) {
	b := newBench(t)
	b.place("small", 1, 3, nil)
	b.answerStarts(AnswerOK)
	b.place("large", 10, 1, func(m *structs.Place) { m.Need = structs.Resources{CPU: 3000} })
	b.place("next", 11, 1, nil)
	require.Equal(t, []structs.PlacementEventKind(nil), b.kinds())
	require.Equal(t, []RunRef{{"next00", 1}}, b.starts, "a small task passes at first")
	b.answerStarts(AnswerOK)
	b.pass(2*BackfillLimit, true)
	b.room.HandleList(b.now, RunList{StartTime: 10, RequestedAt: b.now, Ended: []ListedEnd{{RunRef: RunRef{"next00", 1}, Number: 1, End: EndDone}},
		Running: []ListedRun{{RunRef: RunRef{"small00", 1}}, {RunRef: RunRef{"small01", 1}}, {RunRef: RunRef{"small02", 1}}}})
	b.place("later", 12, 1, nil)
	require.Empty(t, b.starts, "the room is kept for the large task")
}

// TestNewIncarnationEndsTheOldOnes guards against tasks of a gateway that was killed and has started again: its callers
// have lost their connections.
func TestNewIncarnationEndsTheOldOnes(t *testing.T) {
	b := newBench(t)
	b.place("j", 1, 2, nil)
	b.answerStarts(AnswerOK)
	b.room.GatewayLinked(b.now, &structs.Resume{Gateway: structs.GatewayRef{ID: "g", Incarnation: 2}})
	b.flush()
	require.Len(t, b.stops, 2)
}

// TestRunWaitsForAnEarlierRunOfItsTask guards against two runs at once when a job comes again through another gateway.
func TestRunWaitsForAnEarlierRunOfItsTask(t *testing.T) {
	b := newBench(t)
	b.place("j", 1, 1, nil)
	b.answerStarts(AnswerOK)
	other := structs.GatewayRef{ID: "h", Incarnation: 1}
	b.room.GatewayLinked(b.now, &structs.Resume{Gateway: other})
	b.room.Place(b.now, other, &structs.Place{
		Seq: 1, Job: "j", Need: structs.Resources{CPU: 1000}, Tasks: []structs.PlacedTask{{ID: 5, Run: 1}},
	})
	b.flush()
	require.Equal(t, []RunRef{{"j00", 1}}, b.stops)
	require.Empty(t, b.starts)
	b.room.StopAnswered(b.now, b.stops[0], AnswerOK)
	b.now += time.Millisecond
	b.room.HandleList(b.now, RunList{StartTime: 10, RequestedAt: b.now, Ended: []ListedEnd{{RunRef: RunRef{"j00", 1}, Number: 1, End: EndLost}}})
	b.flush()
	require.Equal(t, []RunRef{{"j00", 2}}, b.starts)
}

// TestStopBeforeTheSurvey guards against a stop that is lost because the agent has started again and does not know yet what
// runs: the caller has left and sends the job again 1.3 s later.
func TestStopBeforeTheSurvey(t *testing.T) {
	b := newBench(t)
	b.room = New(b.now, b.room.options)
	b.room.GatewayLinked(b.now, &structs.Resume{Gateway: b.gateway, Tasks: []structs.ResumedTask{{ID: 1, Job: "j", Run: 1}}})
	b.room.Stop(b.now, b.gateway, &structs.Stop{IDs: []uint64{1}})
	b.flush()
	b.room.SetServer(b.now, Server{ID: "s", StartTime: 10, Service: "svc", Capacity: structs.Resources{CPU: 4000}})
	b.room.HandleList(b.now, RunList{StartTime: 10, RequestedAt: b.now, Running: []ListedRun{{RunRef: RunRef{"j00", 1}}}})
	b.flush()
	require.Equal(t, []RunRef{{"j00", 1}}, b.stops)
}

// TestStartAtANewLifeCounts guards against a run that is given up, and started elsewhere, because the agent learns only from
// the list that shows it that the server had been born anew before the start.
func TestStartAtANewLifeCounts(t *testing.T) {
	b := newBench(t)
	b.place("j", 1, 2, nil)
	b.answerStarts(AnswerOK)
	b.room.HandleList(b.now, RunList{StartTime: 11, RequestedAt: b.now, Running: []ListedRun{{RunRef: RunRef{"j00", 1}}}})
	b.flush()
	require.Equal(t, []structs.PlacementEventKind{structs.PlacementLost}, b.kinds(), "the one that is not there")
	require.True(t, b.room.HasActiveRuns())

	b = newBench(t)
	b.place("j", 1, 2, nil)
	b.answerStarts(AnswerOK)
	b.room.SetServer(b.now, Server{ID: "s", StartTime: 11, Service: "svc", Capacity: structs.Resources{CPU: 4000}})
	b.flush()
	require.Empty(t, b.kinds(), "it is not known which life has them")
	b.now += time.Millisecond
	b.room.HandleList(b.now, RunList{StartTime: 11, RequestedAt: b.now, Running: []ListedRun{{RunRef: RunRef{"j00", 1}}}})
	b.flush()
	require.Equal(t, []structs.PlacementEventKind{structs.PlacementLost}, b.kinds())
}
