package supervisor

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"rosedrift.example/rosedrift/internal/rackdemand"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/zonestate"
)

type state uint8

const (
	waiting state = iota
	// starting: the start was sent and has not been answered.
	starting
	running
	// stopping: the run must not continue, or it is unknown whether it was started. It is kept until the server's list
	// proves that it has ended.
	stopping
	// blocked: a gateway has listed the task, but the run of it belongs to another gateway. It is kept until that has ended.
	blocked
)

// run is one run of a placed task, or a run that was found at the server.
type run struct {
	RunRef
	// id is the gateway's number of the placement.
	id uint64
	// job, step and index identify the task. They are not known of a run that was found and has not been claimed.
	job         string
	step, index int
	gateway     *gateway // nil for a run that was found and has not been claimed
	payload     string
	need        structs.Resources
	// alone is set if no task of another job may run at the same time.
	alone           bool
	expectedRunTime time.Duration
	// priority and arrival order the queued runs.
	priority int
	arrival  time.Duration
	state    state
	placedAt time.Duration
	// startBy is when a queued run is returned to its gateway, or 0 for never.
	startBy time.Duration
	// startedAt is when the start was sent, confirmedAt when it was answered.
	startedAt   time.Duration
	confirmedAt time.Duration
	// tries counts the requests to start the run, answers those that were answered. Once all are, the server cannot carry
	// one out any more. retryAt is when the start is requested again if none was answered.
	tries   int
	answers int
	retryAt time.Duration
	// incarnation is the start time of the server, startToken the fencing token and startContact the age of the contact with the
	// gateway at the last request to start the run.
	incarnation  int64
	startToken   uint64
	startContact time.Duration
	// requestedAt is when the start was last requested.
	requestedAt time.Duration
	// percent is the last known progress. checked is set once the progress was compared with the expected one.
	percent float64
	checked bool
	// observed is set once the slowness of the server was learned from the run.
	observed bool
	// assumedSlowness is the slowness of the server, as a logarithm, that expectedRunTime includes.
	assumedSlowness float64
	// nextStopAt is when to send the next stop. stopConfirmed is set once the server has answered one, at
	// stopConfirmedAt.
	nextStopAt      time.Duration
	stopConfirmed   bool
	stopConfirmedAt time.Duration
	// lapsed is set once the lease of the run has certainly expired, so that later leases cannot prolong it.
	lapsed bool
	// stopBy limits the lease of a run that is being stopped, or of one that was found.
	stopBy time.Duration
	// fenced is set if raising the token replaced a stop. If a later list still shows the run, a stop is sent.
	fenced bool
	// endKind is the kind of event that the gateway gets once a stopping run has ended.
	endKind               structs.PlacementEventKind
	nextStragglerReportAt time.Duration
}

// Supervisor is the state machine that manages the runs of one backend server. It is not safe for concurrent use.
type Supervisor struct {
	options Options
	now     time.Duration
	server  *Server
	// undescribed is set while the server is known to have restarted and has not reported yet what it is now.
	undescribed bool
	// startTimeKnownAt is when the server's start time became known. A list requested after that comes from the
	// current incarnation, even if its start time is lower because the server's clock was set back.
	startTimeKnownAt time.Duration
	// zones is the newest state of the availability zones, zoneReader decides when it is read from the store. While the
	// agent's zone is out or shuttingDown is set, no task is accepted.
	zones        zonestate.View
	zoneReader   zonestate.Reader
	shuttingDown bool
	// unresponsive is set while the server does not answer. leaseEnd is when the leases of all runs have expired by the agent's
	// clock, unless a call that got no answer prolongs them. grantedAt is when a lease was last requested.
	unresponsive bool
	leaseEnd     time.Duration
	grantedAt    time.Duration
	// resumedAt is when the last time without an input ended that is longer than longestCall.
	resumedAt time.Duration
	// reconciled is set once it is known which runs an earlier agent has left. Before that, gateways get no answers
	// about their tasks.
	reconciled bool
	// unansweredStarts counts the starts without an answer since the last list, failedLists the consecutive lists
	// without one.
	unansweredStarts int
	failedLists      int
	// refusedSince is when the server began to refuse all connections, 0 if it does not. refusedAt is when it last did.
	refusedSince, refusedAt time.Duration
	// callLostAt is when a call was last found to have got no answer, 0 if none was.
	callLostAt time.Duration
	revision   uint64

	gateways map[structs.GatewayRef]*gateway
	// activeRuns holds all runs that the server may have.
	activeRuns map[RunRef]*run
	// activeRunsByTask counts the entries of activeRuns by task.
	activeRunsByTask map[string]int
	queue            []*run
	blockedRuns      []*run
	usedResources    structs.Resources
	queuedResources  structs.Resources
	// token is the fencing token of all calls to the server. It is raised after a call without an answer, and when the server
	// restarts: an unanswered request sent before the restart may still reach the new incarnation, which has forgotten all
	// stops and whose clock starts again.
	token uint64
	// tokenRaisedAt is when the token was last raised. tokenConfirmed is set once a list requested after that was
	// answered. From then on the server rejects requests with older tokens.
	tokenRaisedAt  time.Duration
	tokenConfirmed bool
	open           openCalls
	// highestRuns is the highest run number of each task and when it was last used.
	highestRuns map[string]usedRunNumber
	// lastEndNumber is the number of the last end that was handled.
	lastEndNumber uint64
	// unclaimedEnds holds the ends of runs that no gateway has claimed.
	unclaimedEnds     map[RunRef]unclaimedEnd
	claimDeadline     time.Duration
	startsPausedUntil time.Duration
	pruneAt           time.Duration
	slowness          slowness
	suspension        suspension
	// lastProgressAt is when a list last showed that a run has advanced or completed.
	lastProgressAt   time.Duration
	resourcesChanged bool
	// crashReported is set once the crash of the server's present incarnation was reported.
	crashReported bool
	notices       []notice
	lastNotice    uint64
	// quarantineVersions holds the versions of the quarantines that were passed on, by queue.
	quarantineVersions map[string]uint64
	demand             *rackdemand.Agent
	// cancelled holds the cancelled jobs that were passed on to the gateways, oldest first.
	cancelled []cancelledJob
	// claims holds who holds the jobs that were claimed here, by job. They are complete from claimsCompleteAt on. contested holds
	// those that another gateway waits for, and those of gateways without a link.
	claims           map[string]*jobClaim
	contested        map[string]*jobClaim
	claimsCompleteAt time.Duration
	actions          []Action
}

// New returns a supervisor that does not know its server yet.
func New(now time.Duration, options Options) *Supervisor {
	return &Supervisor{
		options: options, now: now,
		gateways:   map[structs.GatewayRef]*gateway{},
		activeRuns: map[RunRef]*run{}, activeRunsByTask: map[string]int{},
		highestRuns:   map[string]usedRunNumber{},
		unclaimedEnds: map[RunRef]unclaimedEnd{}, quarantineVersions: map[string]uint64{},
		suspension:    suspension{failedJobs: map[string]bool{}},
		demand:        rackdemand.NewAgent(),
		zones:         zonestate.NewView(),
		zoneReader:    zonestate.NewReader(now, string(options.Self.ID)),
		token:         options.Token,
		claimDeadline: now + ClaimTimeout,
		claims:        map[string]*jobClaim{}, contested: map[string]*jobClaim{}, claimsCompleteAt: now + claimsSettleTime,
		// An earlier agent may have renewed the lease just before this one was started, and may have left calls without an answer.
		leaseEnd: now + maxLease(options.RunLease),
		open:     openCalls{inherited: now + lateCallLimit, leases: unknownLeases},
	}
}

// HasActiveRuns reports whether the server has or may have runs, so that their lease must be renewed.
func (s *Supervisor) HasActiveRuns() bool { return len(s.activeRuns) > 0 }

// LastEndNumber returns the number of the last end that was handled.
func (s *Supervisor) LastEndNumber() uint64 { return s.lastEndNumber }

// Idle reports whether no task runs or is queued.
func (s *Supervisor) Idle() bool { return len(s.activeRuns) == 0 && len(s.queue) == 0 }

// closedReason returns why no task is accepted, or "" if tasks are accepted.
func (s *Supervisor) closedReason() string {
	switch {
	case s.server == nil:
		return "no server"
	case !s.reconciled:
		return "starting"
	case s.undescribed:
		return "not reported"
	case s.server.Draining:
		return "draining"
	case s.zones.IsOut(s.options.Zone):
		return "zone out"
	case s.unresponsive:
		return "server silent"
	case s.shuttingDown:
		return "stopping"
	}
	return ""
}

// SetServer handles the server's report about itself. A report with a lower start time than the known one is ignored.
func (s *Supervisor) SetServer(now time.Duration, server Server) {
	s.advance(now)
	if s.server != nil && server.StartTime < s.server.StartTime && server.StartTime != 0 {
		return // a delayed report of an earlier incarnation
	}
	s.setServer(server)
}

// ConfirmServer handles a report of the incarnation that has just answered a request for the list. It must be called before
// HandleList, so that the restart is handled once.
func (s *Supervisor) ConfirmServer(now time.Duration, server Server) {
	s.advance(now)
	s.setServer(server)
}

// setServer applies a report. A server that has restarted has lost its earlier runs.
func (s *Supervisor) setServer(server Server) {
	old := s.server
	if old != nil && (old.ID != server.ID || (server.StartTime != 0 && old.StartTime != 0 && old.StartTime != server.StartTime)) {
		s.handleServerRestart(server.ID)
	}
	if old != nil && server.StartTime == 0 {
		server.StartTime = old.StartTime
	}
	if old == nil || old.StartTime != server.StartTime {
		s.startTimeKnownAt = s.now
	}
	same := old != nil && !s.undescribed && old.equals(server)
	s.server, s.undescribed = &server, false
	if !same {
		s.log(LogEntry{Message: "server report", Detail: server.ID + " draining=" + strconv.FormatBool(server.Draining)})
		s.announceServer()
	}
}

// equals reports whether two reports say the same.
func (s *Server) equals(other Server) bool {
	return s.ID == other.ID && s.StartTime == other.StartTime && s.Draining == other.Draining && s.Capacity == other.Capacity &&
		slices.Equal(s.Labels, other.Labels) && s.Service == other.Service
}

func (s *Supervisor) setStartTime(startTime int64) {
	if s.server.StartTime != startTime {
		s.server.StartTime, s.startTimeKnownAt = startTime, s.now
	}
}

// ServerDeregistered handles the deregistration of the server, whose process has ended.
func (s *Supervisor) ServerDeregistered(now time.Duration, id string) {
	s.advance(now)
	if s.server == nil || s.server.ID != id {
		return
	}
	s.crashReported = true // the server has announced its end
	s.handleServerRestart(id)
	s.server, s.undescribed = nil, false
	s.announceServer()
}

// handleServerRestart discards the end and run numbers of the earlier incarnation of the server. The earlier runs
// have ended, but a start that was answered may have been carried out by the new incarnation before the agent knew of
// it. Therefore the next list decides about all runs.
func (s *Supervisor) handleServerRestart(id string) {
	if !s.unresponsive {
		s.recordCrash()
	}
	s.crashReported = false
	s.raiseToken(1)
	s.open.leases = 0
	s.log(LogEntry{Message: "server restarted", Detail: id + " token " + strconv.FormatUint(s.token, 10)})
	for _, run := range s.activeRuns {
		if run.state == stopping {
			run.stopConfirmed, run.stopConfirmedAt, run.fenced = true, s.now, true
		}
	}
	s.slowness, s.lastEndNumber = slowness{}, 0
	s.resumeService("server restarted")
	s.highestRuns = map[string]usedRunNumber{}
}

// endAllRuns ends all runs of a server whose process has ended. A start that was not answered may still reach the next
// incarnation, so its run is kept until a list of that incarnation does not show it.
func (s *Supervisor) endAllRuns() {
	for _, run := range s.sortedActiveRuns() {
		switch {
		case run.answers >= run.tries:
			s.finish(run, structs.PlacementLost, evidenceRefused)
		case run.state != stopping || run.stopConfirmed:
			s.cancel(run)
			run.stopConfirmed, run.nextStopAt = false, s.now
		}
	}
}

// sortedActiveRuns returns the active runs in a fixed order.
func (s *Supervisor) sortedActiveRuns() []*run {
	runs := make([]*run, 0, len(s.activeRuns))
	for _, run := range s.activeRuns {
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

// BeginShutdown begins the graceful shutdown: no task is started any more, and running tasks may end.
func (s *Supervisor) BeginShutdown(now time.Duration) {
	s.advance(now)
	s.shuttingDown = true
	s.announceServer()
}

// announceServer schedules a new server report to all gateways. If tasks are not accepted any more, it returns the
// queued ones.
func (s *Supervisor) announceServer() {
	for _, g := range s.gateways {
		g.serverReportDue = true
	}
	for _, run := range slices.Clone(s.queue) {
		reason := s.closedTo(run.gateway)
		if run == s.suspension.probe {
			reason = s.closedReason() // the suspension itself admits it
		}
		if reason != "" {
			s.dequeue(run)
			s.reportEnd(run, structs.PlacementClosed)
		}
	}
	s.resourcesChanged = true
}

// advance moves the clock forward. A gap between calls means that the process was paused. Messages that arrived
// meanwhile may come from gateways whose callers have submitted their jobs again elsewhere, so all links are closed.
func (s *Supervisor) advance(now time.Duration) {
	if now-s.now > structs.PauseThreshold {
		s.log(LogEntry{Message: "process was paused", Detail: (now - s.now).String()})
		s.now, s.claimsCompleteAt = now, now+claimsSettleTime
		for _, g := range s.sortedGateways() {
			if g.linked {
				g.linked = false
				s.holderLost(g.ref, s.now)
				s.actions = append(s.actions, CloseLink{Gateway: g.ref})
			}
		}
	}
	if now-s.now > longestCall {
		s.resumedAt = now
	}
	s.now = max(s.now, now)
	s.markLapsed()
}

func (s *Supervisor) log(e LogEntry) { s.actions = append(s.actions, e) }

// Token returns the fencing token for calls to the server.
func (s *Supervisor) Token() uint64 { return s.token }

// TokenConfirmed reports whether the server is known to reject requests with older tokens.
func (s *Supervisor) TokenConfirmed() bool { return s.tokenConfirmed }

func (s *Supervisor) raiseToken(by uint64) {
	s.token += by
	s.tokenRaisedAt, s.tokenConfirmed = s.now, false
}

// TokenRejected handles the rejection of a call because the server has seen a higher token than the given one. That
// token comes from an earlier agent whose clock was ahead.
func (s *Supervisor) TokenRejected(now time.Duration, token uint64) {
	s.advance(now)
	if s.token == token {
		s.raiseToken(tokenStep)
		s.log(LogEntry{Message: "fencing token raised", Detail: strconv.FormatUint(s.token, 10)})
	}
}
