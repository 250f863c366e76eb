package supervisor

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

type state uint8

const (
	waiting state = iota
	// starting: the start was sent and is not answered.
	starting
	running
	// stopping: the run must not go on, or it is not known whether it was started. It stays until the server's list
	// proves that it is gone.
	stopping
)

// run is one placed task.
type run struct {
	RunRef
	id      uint64
	gateway   *gateway // nil for a run that was found and is not claimed
	payload string
	need    structs.Resources
	expectedRunTime  time.Duration
	// priority and arrival order the waiting runs.
	priority int
	arrival  time.Duration
	state    state
	placedAt time.Duration
	// startBy is when a waiting run goes back to its gateway, 0 for never.
	startBy time.Duration
	// startedAt is when the start was sent, confirmedAt when it was answered.
	startedAt   time.Duration
	confirmedAt time.Duration
	// answered is set once the start was answered, so that it cannot be carried out any more.
	answered bool
	// nextStopAt is when to send the next stop; stopped is set once one was answered at stoppedAt.
	nextStopAt    time.Duration
	stopConfirmed   bool
	stopConfirmedAt time.Duration
	// fenced is set if the token was raised instead of a stop: a later list that shows the run calls for the stop.
	fenced bool
	// endKind is the event that the gateway gets when a stopping run is gone.
	endKind  structs.PlacementEventKind
	nextStragglerReportAt time.Duration
}

// Supervisor is the state machine. It is not safe for concurrent use.
type Supervisor struct {
	options Options
	now     time.Duration
	server  *Server
	// startTimeKnownAt is when the server's birth became known. A list that was asked for later tells the present one, also if its
	// number is lower because the server's time of day was set back.
	startTimeKnownAt time.Duration
	// zoneOut and stopping close the room.
	zoneOut  bool
	shuttingDown bool
	// unresponsive is set while the server does not answer. renewedAt is when the last call was sent that may have renewed
	// the lease of the runs.
	unresponsive    bool
	leaseRenewedAt time.Duration
	// reconciled is set once it is known what an earlier agent has left running. Before it no gateway gets an answer about
	// its tasks.
	reconciled bool
	// unansweredStarts counts the starts without an answer since the last list, failedLists the lists without one.
	unansweredStarts  int
	failedLists int
	revision    uint64

	gateways map[structs.GatewayRef]*gateway
	// activeRuns holds all runs that the server may know.
	activeRuns map[RunRef]*run
	// activeRunsByTask counts the runs in active by task.
	activeRunsByTask map[string]int
	queue       []*run
	usedResources        structs.Resources
	queuedResources      structs.Resources
	// token is the fencing token of all calls to the server. It rises when the server is born anew: an unanswered order of
	// before may still reach it, its clock begins again, and it has forgotten all stops.
	token uint64
	// tokenRaisedAt is when the token was raised last. tokenSeen is set once a list that was asked for later was answered: from
	// then on the server refuses older orders.
	tokenRaisedAt  time.Duration
	tokenSeen bool
	// highest is the last run number of a task, with the time of its last use.
	highest map[string]pastRun
	seen    uint64
	// found holds ends of runs that no gateway has claimed.
	found      map[RunRef]foundEnd
	claimUntil time.Duration
	pauseUntil time.Duration
	pruneAt    time.Duration
	changed    bool
	actions    []Action
}

// New returns a room without a server.
func New(now time.Duration, options Options) *Supervisor {
	return &Supervisor{
		options: options, now: now,
		gateways: map[structs.GatewayRef]*gateway{},
		activeRuns: map[RunRef]*run{}, activeRunsByTask: map[string]int{},
		highest:    map[string]pastRun{},
		found:      map[RunRef]foundEnd{},
		token:      options.Token,
		claimUntil: now + ClaimTimeout,
		// An earlier agent may have renewed the lease just before this one started.
		leaseRenewedAt: now,
	}
}

// HasActiveRuns reports whether the server has or may have runs, so that their lease must be renewed.
func (r *Supervisor) HasActiveRuns() bool { return len(r.activeRuns) > 0 }

// LastEndNumber returns the number of the last end that was taken note of.
func (r *Supervisor) LastEndNumber() uint64 { return r.seen }

// Idle reports whether nothing runs or waits.
func (r *Supervisor) Idle() bool { return len(r.activeRuns) == 0 && len(r.queue) == 0 }

func (r *Supervisor) closed() string {
	switch {
	case r.server == nil:
		return "no server"
	case !r.reconciled:
		return "starting"
	case r.server.Draining:
		return "draining"
	case r.zoneOut:
		return "zone out"
	case r.unresponsive:
		return "server silent"
	case r.shuttingDown:
		return "stopping"
	}
	return ""
}

// SetServer takes the server's report about itself. A server that was born anew has lost the runs of before.
func (r *Supervisor) SetServer(now time.Duration, s Server) {
	r.advance(now)
	old := r.server
	if old != nil && s.StartTime < old.StartTime && s.StartTime != 0 {
		return // a late report of an earlier incarnation
	}
	if old != nil && (old.ID != s.ID || (s.StartTime != 0 && old.StartTime != 0 && old.StartTime != s.StartTime)) {
		r.bornAnew(s.ID)
	}
	if old != nil && s.StartTime == 0 {
		s.StartTime = old.StartTime
	}
	if old == nil || old.StartTime != s.StartTime {
		r.startTimeKnownAt = r.now
	}
	same := old != nil && old.ID == s.ID && old.StartTime == s.StartTime && old.Draining == s.Draining &&
		old.Capacity == s.Capacity && slices.Equal(old.Labels, s.Labels) && old.Service == s.Service
	r.server = &s
	if !same {
		r.note(LogEntry{Message: "server report", Detail: s.ID + " draining=" + strconv.FormatBool(s.Draining)})
		r.announceAll()
	}
}

func (r *Supervisor) setBorn(born int64) {
	if r.server.StartTime != born {
		r.server.StartTime, r.startTimeKnownAt = born, r.now
	}
}

// ServerDeregistered says that the server has ended.
func (r *Supervisor) ServerDeregistered(now time.Duration, id string) {
	r.advance(now)
	if r.server == nil || r.server.ID != id {
		return
	}
	r.bornAnew(id)
	r.server = nil
	r.announceAll()
}

// bornAnew forgets the numbers of ends and runs of an earlier incarnation of the server. Its runs are gone, but an answered
// start may have reached the present one before the agent knew of it, so the next list decides about all runs.
func (r *Supervisor) bornAnew(id string) {
	r.raiseToken(1)
	r.note(LogEntry{Message: "server born anew", Detail: id + " token " + strconv.FormatUint(r.token, 10)})
	for _, run := range r.activeRuns {
		if run.state == stopping {
			run.stopConfirmed, run.stopConfirmedAt, run.fenced = true, r.now, true
		}
	}
	r.survey()
	r.seen = 0
	r.highest = map[string]pastRun{}
}

// dropAll ends all runs of a server that is gone. A start that was not answered may reach its next incarnation, so the run
// stays until a list of that one does not show it.
func (r *Supervisor) dropAll() {
	for _, run := range r.runsInOrder() {
		if run.answered {
			r.finish(run, structs.PlacementLost)
			continue
		}
		r.abandon(run)
		run.stopConfirmed, run.nextStopAt = false, r.now
	}
}

func (r *Supervisor) runsInOrder() []*run {
	runs := make([]*run, 0, len(r.activeRuns))
	for _, run := range r.activeRuns {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		if c := cmp.Compare(a.Task, b.Task); c != 0 {
			return c
		}
		return cmp.Compare(a.Run, b.Run)
	})
	return runs
}

// SetZoneOut says whether the operators have taken the zone out.
func (r *Supervisor) SetZoneOut(now time.Duration, out bool, revision uint64) {
	r.advance(now)
	r.revision = revision
	if r.zoneOut != out {
		r.zoneOut = out
		r.note(LogEntry{Message: "zone state", Detail: "out=" + strconv.FormatBool(out)})
		r.announceAll()
	}
}

// BeginShutdown begins a planned stop: what runs ends, nothing new starts.
func (r *Supervisor) BeginShutdown(now time.Duration) {
	r.advance(now)
	r.shuttingDown = true
	r.announceAll()
}

func (r *Supervisor) announceAll() {
	for _, o := range r.gateways {
		o.announce = true
	}
	if r.closed() != "" {
		for _, run := range slices.Clone(r.queue) {
			r.dequeue(run)
			r.report(run, structs.PlacementClosed)
		}
	}
	r.changed = true
}

// advance lets time pass. A gap in the calls means that the process was frozen: messages that waited meanwhile may be
// from gateways whose callers have sent their jobs again elsewhere, so all links must begin anew.
func (r *Supervisor) advance(now time.Duration) {
	if now-r.now > structs.PauseThreshold {
		r.note(LogEntry{Message: "was frozen", Detail: (now - r.now).String()})
		r.now = now
		for _, o := range r.sortedGateways() {
			if o.linked {
				o.linked = false
				r.actions = append(r.actions, CloseLink{Gateway: o.ref})
			}
		}
	}
	r.now = max(r.now, now)
}

func (r *Supervisor) note(n LogEntry) { r.actions = append(r.actions, n) }

// Token returns the fencing token for calls to the server.
func (r *Supervisor) Token() uint64 { return r.token }

// TokenConfirmed reports whether the server refuses orders with older tokens.
func (r *Supervisor) TokenConfirmed() bool { return r.tokenSeen }

func (r *Supervisor) raiseToken(by uint64) {
	r.token += by
	r.tokenRaisedAt, r.tokenSeen = r.now, false
}

// TokenRejected says that the server has refused a call with a token because it has seen a higher one, from an earlier agent whose
// clock was ahead.
func (r *Supervisor) TokenRejected(now time.Duration, token uint64) {
	r.advance(now)
	if r.token == token {
		r.raiseToken(tokenStep)
		r.note(LogEntry{Message: "fencing token raised", Detail: strconv.FormatUint(r.token, 10)})
	}
}
