package agent

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rosedrift.example/rosedrift/internal/structs"
	_ "rosedrift.example/rosedrift/internal/testseed"
)

const (
	testService = "lending"
	testZone    = "catania"
	testSlots   = 2
)

var (
	testSelf = structs.AgentRef{ID: "oven-1", Incarnation: 1}
	testPool = structs.PoolID{Service: testService}
)

func testTask(job, index int) structs.TaskRef {
	return structs.TaskRef{
		Job:   structs.JobID{Pool: testPool, Key: structs.KeyHash{byte(job), byte(job >> 8), byte(job >> 16)}},
		Index: uint32(index),
	}
}

func testDocument(t require.TestingT, revision structs.Revision, out, draining bool) *structs.ConfigDocument {
	config := structs.Configuration{Revision: revision, Zones: map[string]structs.ZoneConfig{}}
	if out {
		config.Zones[testZone] = structs.ZoneConfig{State: structs.ZoneOut}
	}
	if draining {
		config.Servers = map[string]structs.ServerConfig{string(testSelf.ID): {State: structs.ServerDraining}}
	}
	raw, err := json.Marshal(config)
	require.NoError(t, err)
	return &structs.ConfigDocument{Revision: revision, Document: raw}
}

// model sends inputs to a machine and checks each action against a simpler model of the machine's state.
type model struct {
	t        *rapid.T
	m        *Machine
	now      time.Duration
	links    []LinkID
	nextLink LinkID
	// heartbeats holds the times of the heartbeats that the machine has sent on each link.
	heartbeats map[LinkID][]time.Duration
	// lastContact is the last proven contact with a gateway, announcedAt the last announcement.
	lastContact time.Duration
	announcedAt time.Duration
	promised    structs.Epoch
	revision    structs.Revision
	// blocked is set while the zone is out of service or the server is draining.
	blocked  bool
	stopping bool
	// open holds the tasks of received starts that have no terminal event yet.
	open map[structs.TaskRef]bool
	// epochs holds the epoch of each start by attempt.
	epochs map[uint64]structs.Epoch
	// attempt is the attempt of the latest start. unrefused holds the task of each start that has not been refused.
	attempt   uint64
	unrefused map[uint64]structs.TaskRef
	// delayed holds starts that are delayed on a link. lost holds the attempts that the machine has reported as lost.
	delayed []delayedStart
	lost    map[uint64]bool
	// minAttempt is the lowest attempt that the machine may accept.
	minAttempt uint64
	// reportedLost counts the starts that the machine has reported as lost after the last ReconcileStarts message.
	reportedLost int
	// runAttempt holds the attempt under which a task was last sent to the backend server.
	runAttempt map[structs.TaskRef]uint64
	// running holds the tasks that run at the backend server.
	running map[structs.TaskRef]bool
	// ended holds the tasks that have ended, and how.
	ended   map[structs.TaskRef]structs.TaskEventKind
	aborted map[structs.TaskRef]bool
	stopped int
}

func newModel(t *rapid.T) *model {
	s := &model{
		t: t, m: NewMachine(0, MachineOptions{Self: testSelf, Zone: testZone}), nextLink: 1, lastContact: never, announcedAt: never,
		heartbeats: map[LinkID][]time.Duration{}, open: map[structs.TaskRef]bool{}, epochs: map[uint64]structs.Epoch{},
		running: map[structs.TaskRef]bool{}, ended: map[structs.TaskRef]structs.TaskEventKind{},
		aborted: map[structs.TaskRef]bool{}, unrefused: map[uint64]structs.TaskRef{}, lost: map[uint64]bool{},
		runAttempt: map[structs.TaskRef]uint64{},
	}
	s.announce()
	s.linkUp()
	s.fence(1)
	s.heartbeat(s.links[0], 1, true)
	return s
}

// step passes an input to the machine and checks the returned actions.
func (s *model) step(in Input) {
	for _, action := range s.m.Step(s.now, in) {
		switch action := action.(type) {
		case Run:
			s.checkRun(action.Task.Task, action.Task.Priority)
			require.Equal(s.t, action.Task.Task, s.unrefused[action.Task.Attempt], "a refused start was run")
			require.Equal(s.t, s.promised, s.epochs[action.Task.Attempt], "a task was started under an epoch that is not the promised one")
			require.False(s.t, s.lost[action.Task.Attempt], "a start that was reported as lost was run")
			s.runAttempt[action.Task.Task] = action.Task.Attempt
		case Send:
			s.checkSend(action)
		case Abort:
			require.True(s.t, s.running[action.Task])
			s.aborted[action.Task] = true
		case Stopped:
			s.stopped++
			require.Empty(s.t, s.running)
		}
	}
	require.LessOrEqual(s.t, s.m.Stats().Queued, DefaultQueueLength+len(s.aborted))
}

// checkRun checks that a task may be sent to the backend server now.
func (s *model) checkRun(task structs.TaskRef, priority structs.Priority) {
	require.Contains(s.t, s.open, task)
	require.False(s.t, s.running[task], "a task started twice")
	require.NotContains(s.t, s.ended, task, "a task started again after its end")
	s.running[task] = true
	require.LessOrEqual(s.t, len(s.running), testSlots)
	require.False(s.t, s.blocked, "a task was started in a zone that is out of service or on a draining server")
	require.False(s.t, s.stopping)
	require.Less(s.t, s.now-s.lastContact, structs.AgentContactTimeout, "a task was started without a recent heartbeat")
	require.Less(s.t, s.now-s.announcedAt, AnnounceTimeout)
	if priority == structs.Urgent {
		return
	}
	for _, waiting := range s.m.queue {
		require.NotEqual(s.t, structs.Urgent, waiting.task.Priority, "a routine task was started before an urgent one")
	}
}

func (s *model) checkSend(action Send) {
	switch message := action.Message.(type) {
	case *structs.AgentHeartbeat:
		s.heartbeats[action.Link] = append(s.heartbeats[action.Link], s.now)
		require.EqualValues(s.t, len(s.heartbeats[action.Link]), message.Seq)
		require.Equal(s.t, s.promised, message.Promised)
	case *structs.TaskEvents:
		for _, event := range message.Events {
			s.checkEvent(event)
		}
	}
}

func (s *model) checkEvent(event structs.TaskEvent) {
	if event.Error == reasonStartLost {
		s.checkLost(event)
		return
	}
	_, open := s.open[event.Task]
	switch event.Kind {
	case structs.TaskNotWithdrawn:
		return
	case structs.TaskRefused, structs.TaskWithdrawn:
		require.Equal(s.t, event.Task, s.unrefused[event.Attempt], "a start was refused twice or not sent")
		delete(s.unrefused, event.Attempt)
		require.True(s.t, open, "a refusal without an open start")
		require.False(s.t, s.running[event.Task], "a started task was reported as not started")
	default:
		require.Equal(s.t, s.ended[event.Task], event.Kind, "an end was reported with another kind")
		require.Equal(s.t, s.runAttempt[event.Task], event.Attempt, "an end was reported with another attempt")
	}
	delete(s.open, event.Task)
}

// delayedStart is a start that was sent and has not arrived.
type delayedStart struct {
	attempt  uint64
	epoch    structs.Epoch
	task     structs.TaskRef
	priority structs.Priority
}

// checkLost checks that a start reported as lost cannot run any more.
func (s *model) checkLost(event structs.TaskEvent) {
	require.Equal(s.t, event.Task, s.unrefused[event.Attempt])
	require.True(s.t, event.Attempt < s.minAttempt || s.epochs[event.Attempt] < s.promised, "a start that may still run was reported as lost")
	require.False(s.t, s.running[event.Task], "a running task was reported as lost")
	require.NotContains(s.t, s.ended, event.Task, "an ended task was reported as lost")
	require.Negative(s.t, s.m.queueIndex(keyOf(event.Task)), "a waiting task was reported as lost")
	s.lost[event.Attempt] = true
	s.reportedLost++
}

// reconcileStarts sends a ReconcileStarts message that lists all delayed starts, and checks that exactly those that
// cannot run any more are reported as lost. The message may come over any link, with an outdated minimum attempt.
func (s *model) reconcileStarts(id LinkID, minAttempt uint64) {
	message := &structs.ReconcileStarts{Epoch: s.promised, MinAttempt: minAttempt}
	s.minAttempt = max(s.minAttempt, minAttempt)
	expected := 0
	for _, d := range s.delayed {
		message.Tasks = append(message.Tasks, structs.StartRef{Task: d.task, Epoch: d.epoch, Attempt: d.attempt})
		_, ended := s.ended[d.task]
		known := s.running[d.task] || ended || s.m.queueIndex(keyOf(d.task)) >= 0
		if !known && (d.attempt < s.minAttempt || d.epoch < s.promised) {
			expected++
		}
	}
	s.reportedLost = 0
	s.step(Received{Link: id, Message: message})
	require.Equal(s.t, expected, s.reportedLost, "a lost start was not reported")
}

// delayStart sends a start that does not arrive before deliverDelayed picks it.
func (s *model) delayStart(epoch structs.Epoch, task structs.TaskRef, priority structs.Priority) {
	s.attempt++
	s.unrefused[s.attempt], s.epochs[s.attempt] = task, epoch
	s.delayed = append(s.delayed, delayedStart{attempt: s.attempt, epoch: epoch, task: task, priority: priority})
}

// deliverDelayed delivers one of the delayed starts. It may be one that was reported as lost or belongs to an earlier
// epoch.
func (s *model) deliverDelayed(id LinkID) {
	if len(s.delayed) == 0 {
		return
	}
	at := rapid.IntRange(0, len(s.delayed)-1).Draw(s.t, "held")
	d := s.delayed[at]
	s.delayed = append(append([]delayedStart(nil), s.delayed[:at]...), s.delayed[at+1:]...)
	s.deliverStart(id, d)
}

func (s *model) announce() {
	s.announcedAt = s.now
	s.step(Announced{Server: "oven", Service: testService, Slots: testSlots, Connections: 64})
}

func (s *model) linkUp() {
	id := s.nextLink
	s.nextLink++
	s.links = append(s.links, id)
	s.step(LinkUp{Link: id, DialedAt: s.now})
	s.lastContact = max(s.lastContact, s.now)
	s.step(Received{Link: id, Message: &structs.GatewayHello{}})
}

func (s *model) linkDown(at int) {
	id := s.links[at]
	s.links = append(append([]LinkID(nil), s.links[:at]...), s.links[at+1:]...)
	s.step(LinkDown{Link: id})
}

// heartbeat sends a gateway heartbeat that echoes the agent's latest heartbeat or an older one.
func (s *model) heartbeat(id LinkID, epoch structs.Epoch, latest bool) {
	seq := len(s.heartbeats[id])
	if !latest {
		seq = max(1, seq-5)
	}
	s.lastContact = max(s.lastContact, s.heartbeats[id][seq-1])
	s.step(Received{Link: id, Message: &structs.GatewayHeartbeat{Epoch: epoch, EchoSeq: uint64(seq)}})
}

// fence sends a fence, and checks that a repeated one drops no waiting task.
func (s *model) fence(epoch structs.Epoch) {
	if epoch > s.promised {
		// Only a higher epoch drops the waiting tasks. After a repeated fence each waiting start still needs an event.
		s.promised, s.minAttempt = epoch, 0
		for task := range s.open {
			if !s.running[task] {
				// The reply has no record of the task: the owner knows that it was not started.
				delete(s.open, task)
			}
		}
	}
	var waiting []structs.TaskRef
	for _, entry := range s.m.queue {
		waiting = append(waiting, entry.task.Task)
	}
	repeated := epoch == s.m.promised
	s.step(Received{Link: s.links[0], Message: &structs.Fence{Pool: testPool, Epoch: epoch}})
	for _, task := range waiting {
		// The same step may return the task for another reason and keep the event until an owner is linked.
		isReturned := slices.ContainsFunc(s.m.undelivered, func(e undeliveredEvent) bool { return e.event.Task == task })
		isKept := s.running[task] || !s.open[task] || isReturned || s.m.queueIndex(keyOf(task)) >= 0
		require.True(s.t, !repeated || isKept, "a repeated fence dropped a waiting task")
	}
}

func (s *model) start(id LinkID, epoch structs.Epoch, task structs.TaskRef, priority structs.Priority) {
	s.delayStart(epoch, task, priority)
	d := s.delayed[len(s.delayed)-1]
	s.delayed = s.delayed[:len(s.delayed)-1]
	s.deliverStart(id, d)
}

func (s *model) deliverStart(id LinkID, d delayedStart) {
	if _, open := s.open[d.task]; !open {
		if _, ended := s.ended[d.task]; !ended {
			s.open[d.task] = true
		}
	}
	start := structs.TaskStart{Task: d.task, Priority: d.priority, Attempt: d.attempt}
	s.step(Received{Link: id, Message: &structs.Start{Epoch: d.epoch, Tasks: []structs.TaskStart{start}}})
}

func (s *model) end(task structs.TaskRef, kind structs.TaskEventKind) {
	delete(s.running, task)
	if s.aborted[task] {
		delete(s.aborted, task)
		kind = structs.TaskAborted
	}
	if kind != structs.TaskRefused {
		s.ended[task] = kind
	}
	s.step(Ended{Task: task, Kind: kind})
}

func (s *model) randomTask() structs.TaskRef {
	return testTask(rapid.IntRange(0, 3).Draw(s.t, "job"), rapid.IntRange(0, 5).Draw(s.t, "index"))
}

// randomRunning returns one of the running tasks, or false.
func (s *model) randomRunning() (structs.TaskRef, bool) {
	for job := range 4 {
		for index := range 6 {
			if task := testTask(job, index); s.running[task] && rapid.Bool().Draw(s.t, "this") {
				return task, true
			}
		}
	}
	return structs.TaskRef{}, false
}

func (s *model) randomStep() {
	s.now += time.Millisecond
	if rapid.IntRange(0, 15).Draw(s.t, "pause") == 0 {
		s.now += time.Duration(rapid.SampledFrom([]int{300, 1600, 4000}).Draw(s.t, "ms")) * time.Millisecond
	}
	if len(s.links) == 0 {
		s.linkUp()
	}
	at := rapid.IntRange(0, len(s.links)-1).Draw(s.t, "link")
	id := s.links[at]
	epoch := max(1, s.promised+structs.Epoch(rapid.IntRange(0, 2).Draw(s.t, "epoch"))) - 1
	task := s.randomTask()
	switch rapid.IntRange(0, 20).Draw(s.t, "input") {
	case 0, 1, 2, 3:
		s.start(id, s.promised, task, structs.Priority(rapid.IntRange(0, 1).Draw(s.t, "priority")))
	case 4:
		s.start(id, epoch, task, structs.Routine)
	case 5, 6:
		if task, ok := s.randomRunning(); ok {
			kinds := []structs.TaskEventKind{structs.TaskFinished, structs.TaskFailed, structs.TaskRefused}
			s.end(task, rapid.SampledFrom(kinds).Draw(s.t, "kind"))
		}
	case 7, 8:
		s.heartbeat(id, epoch, rapid.Bool().Draw(s.t, "latest"))
	case 9, 10:
		s.announce()
	case 11:
		s.step(Received{Link: id, Message: &structs.Withdraw{Epoch: s.promised, Tasks: []structs.TaskRef{task}}})
	case 12:
		s.step(Received{Link: id, Message: &structs.Cancel{Epoch: epoch, Job: task.Job}})
	case 13:
		s.fence(epoch)
	case 14:
		s.revision++
		out, draining := rapid.Bool().Draw(s.t, "out"), rapid.Bool().Draw(s.t, "draining")
		s.blocked = out || draining
		s.step(Received{Link: id, Message: testDocument(s.t, s.revision, out, draining)})
		s.step(Received{Link: id, Message: testDocument(s.t, s.revision-1, false, false)})
	case 15:
		s.linkDown(at)
	case 16:
		s.delayStart(s.promised, task, structs.Priority(rapid.IntRange(0, 1).Draw(s.t, "priority")))
	case 17, 18:
		s.deliverDelayed(id)
	case 19:
		s.reconcileStarts(id, s.attempt+1-min(s.attempt, uint64(rapid.IntRange(0, 3).Draw(s.t, "old"))))
	default:
		s.step(Tick{})
	}
}

// TestMachineKeepsItsInvariants guards against tasks that start twice, beyond the slots, under a fenced epoch, in a
// zone that is out of service or without a recent heartbeat, against refusals of tasks that run, and against starts
// without a terminal event.
func TestMachineKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newModel(t)
		for range rapid.IntRange(1, 1000).Draw(t, "steps") {
			s.randomStep()
		}
		s.stopping = true
		s.step(Stop{})
		s.linkUp()
		s.start(s.links[len(s.links)-1], s.promised, testTask(9, 0), structs.Routine)
		for task := range s.running {
			s.end(task, structs.TaskFinished)
		}
		s.heartbeat(s.links[len(s.links)-1], s.promised+1, true)
		s.step(Tick{})
		require.Empty(t, s.open, "a start got no terminal event")
		require.Equal(t, 1, s.stopped)
	})
}

// TestResultReachesNewOwnerAndSurvivesBrokenLink guards against a job that never ends because the end of one of its
// tasks was only sent to an earlier owner or on a link that broke.
func TestResultReachesNewOwnerAndSurvivesBrokenLink(t *testing.T) {
	m := NewMachine(0, MachineOptions{Self: testSelf, Zone: testZone})
	m.Step(0, Announced{Service: testService, Slots: testSlots, Connections: 64})
	m.Step(0, LinkUp{Link: 1})
	m.Step(0, LinkUp{Link: 2})
	m.Step(0, Received{Link: 1, Message: &structs.GatewayHello{}})
	m.Step(0, Received{Link: 1, Message: &structs.Fence{Pool: testPool, Epoch: 1}})
	m.Step(0, Received{Link: 1, Message: &structs.GatewayHeartbeat{Seq: 1, Epoch: 1, Detached: true}})
	task, lost := testTask(1, 0), testTask(1, 1)
	m.Step(0, Received{Link: 1, Message: &structs.Start{Epoch: 1, Tasks: []structs.TaskStart{{Task: task}, {Task: lost}}}})

	reply := sentMessages[*structs.FenceReply](m.Step(0, Received{Link: 2, Message: &structs.Fence{Pool: testPool, Epoch: 2}}))[0]
	require.True(t, reply.Detached)
	require.Equal(t, structs.RecordRunning, reply.Jobs[0].Tasks[0].State)
	old := sentMessages[*structs.AgentHeartbeat](m.Step(0, Received{Link: 1, Message: &structs.GatewayHeartbeat{Seq: 2, Epoch: 1}}))[0]
	require.EqualValues(t, 1, old.EchoSeq, "the heartbeat of a fenced owner was acknowledged")

	// The earlier owner still gets the end of the task, the new one gets it when it announces its epoch.
	ended := m.Step(0, Ended{Task: task, Kind: structs.TaskFinished, Result: []byte("r")})
	require.Equal(t, LinkID(1), ended[0].(Send).Link)
	events := sentMessages[*structs.TaskEvents](m.Step(0, Received{Link: 2, Message: &structs.GatewayHeartbeat{Epoch: 2}}))
	require.Equal(t, []byte("r"), events[0].Events[0].Result)
	refused := m.Step(0, Ended{Task: lost, Kind: structs.TaskRefused})
	require.Equal(t, LinkID(2), refused[0].(Send).Link, "the new owner does not learn that a record it received was removed")
	m.Step(0, LinkDown{Link: 2})
	m.Step(0, LinkUp{Link: 3})
	events = sentMessages[*structs.TaskEvents](m.Step(0, Received{Link: 3, Message: &structs.GatewayHeartbeat{Epoch: 2}}))
	require.Equal(t, []byte("r"), events[0].Events[0].Result)
	results := sentMessages[*structs.Results](m.Step(0, Received{Link: 3, Message: &structs.FetchResults{Job: task.Job}}))
	require.Equal(t, structs.TaskFinished, results[0].Events[0].Kind)
}

// TestFetchedResultsAreSplit guards against a message above the size limit of a link, which closes the link at each
// retry.
func TestFetchedResultsAreSplit(t *testing.T) {
	m := NewMachine(0, MachineOptions{Self: testSelf, Zone: testZone})
	m.Step(0, LinkUp{Link: 1})
	const count = 70
	for i := range count {
		m.records.add(&structs.TaskStart{Task: testTask(1, i)}, 1)
		m.records.end(0, Ended{Task: testTask(1, i), Kind: structs.TaskFinished, Result: make([]byte, 900<<10)})
	}
	fetch := Received{Link: 1, Message: &structs.FetchResults{Job: testTask(1, 0).Job}}
	messages := sentMessages[*structs.Results](m.Step(0, fetch))
	require.Len(t, messages, count)
	for i, message := range messages {
		require.Equal(t, testTask(1, i), message.Events[0].Task)
	}
}

func sentMessages[T any](actions []Action) []T {
	var found []T
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			if message, ok := s.Message.(T); ok {
				found = append(found, message)
			}
		}
	}
	return found
}

// TestRecordsStayWithinMemoryLimit guards against memory use beyond the limit, and against records that are deleted
// before their retention has passed or kept after it.
func TestRecordsStayWithinMemoryLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 20_000
		s := newRecordStore(limit)
		now := time.Duration(0)
		ends := map[taskKey]time.Duration{}
		for i := range rapid.IntRange(1, 300).Draw(t, "tasks") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second
			task := testTask(rapid.IntRange(0, 20).Draw(t, "job"), i)
			s.expire(now)
			if s.full() {
				continue
			}
			s.add(&structs.TaskStart{Task: task}, 1)
			s.end(now, Ended{Task: task, Kind: structs.TaskFinished, Result: make([]byte, rapid.IntRange(0, 2000).Draw(t, "size"))})
			ends[keyOf(task)] = now
			require.LessOrEqual(t, s.overhead+s.resultBytes, int64(limit))
		}
		for key, end := range ends {
			require.True(t, s.find(key) != nil || now-end >= RecordRetention, "a record was deleted before its retention had passed")
		}
		s.expire(now + RecordRetention)
		require.Empty(t, s.jobs)
		require.Zero(t, s.count)
		require.Zero(t, s.overhead+s.resultBytes)
		require.Zero(t, s.results.len())
	})
}

// BenchmarkStep measures what the machine does for one task: start, run, end and report.
func BenchmarkStep(b *testing.B) {
	m := NewMachine(0, MachineOptions{Self: testSelf, Zone: testZone})
	m.Step(0, Announced{Service: testService, Slots: testSlots, Connections: 64})
	m.Step(0, LinkUp{Link: 1})
	m.Step(0, Received{Link: 1, Message: &structs.GatewayHello{}})
	m.Step(0, Received{Link: 1, Message: &structs.Fence{Pool: testPool, Epoch: 1}})
	m.Step(0, Received{Link: 1, Message: &structs.GatewayHeartbeat{Seq: 1, Epoch: 1}})
	b.ReportAllocs()
	for i := range b.N {
		task := testTask(i/60, i%60)
		now := time.Duration(i) * 10 * time.Millisecond
		m.lastContact, m.announcedAt = now, now
		m.Step(now, Received{Link: 1, Message: &structs.Start{Epoch: 1, Tasks: []structs.TaskStart{{Task: task}}}})
		m.Step(now, Ended{Task: task, Kind: structs.TaskFinished, Result: make([]byte, 100)})
		if i%1000 == 0 {
			m.Step(now, Tick{})
		}
	}
}
