package schedule_test

import (
	"fmt"
	"sort"
	"strconv"
	"time"

	"pgregory.net/rapid"

	"rosedrift.example/rosedrift/internal/schedule"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/supervisor"
)

const (
	worldTick  = time.Millisecond
	runLease   = time.Second
	stopTime   = 50 * time.Millisecond
	firstToken = 1000                    // of the first agent; each later one begins so much higher
	callerWait = 1300 * time.Millisecond // the time after which a caller sends a job again
)

func taskName(job string, step, index int) string {
	return job + "/" + strconv.Itoa(step) + "/" + strconv.Itoa(index)
}

// world runs gateways and agents with model servers and a model network in simulated time. It asserts what callers and
// servers can see.
type world struct {
	t        failer
	now      time.Duration
	gateways []*gateway
	agents   []*agent
	later    events
	sequence int
	// overlapping is the number of servers that run each task.
	runningTasks map[string]int
	answers      map[string][]schedule.Answer
	answeredAt   map[string]time.Duration
	// lateOrder returns the delay of an order to a server and whether its answer is lost.
	lateOrder func() (time.Duration, bool)
	// history holds the last run of each task.
	history map[string]pastRun
	// trace holds what happened to each task, for the message of a failure.
	trace map[string][]string
	// work returns the run time of a task.
	work    func(task string) time.Duration
	started map[string]int
	// sentAgain holds the jobs that were sent more than once: an earlier sending may have run.
	sentAgain map[string]bool
	finished  int
	// stops counts the orders to stop a run.
	stops int
}

type pastRun struct {
	agent        structs.AgentID
	began, ended time.Duration
}

type failer interface {
	Fatalf(format string, args ...any)
}

type event struct {
	at   time.Duration
	seq  int
	what func()
}

type events []event

func (w *world) after(d time.Duration, what func()) {
	w.sequence++
	w.later = append(w.later, event{at: w.now + d, seq: w.sequence, what: what})
}

func newWorld(t failer, gateways, agents int, capacity structs.Resources) *world {
	w := &world{
		t: t, runningTasks: map[string]int{}, answers: map[string][]schedule.Answer{}, answeredAt: map[string]time.Duration{}, started: map[string]int{},
		trace: map[string][]string{}, history: map[string]pastRun{}, sentAgain: map[string]bool{},
		lateOrder: func() (time.Duration, bool) { return 0, false },
		work:      func(string) time.Duration { return 60 * time.Millisecond },
	}
	for i := range gateways {
		g := &gateway{w: w, number: i}
		g.boot()
		w.gateways = append(w.gateways, g)
	}
	for i := range agents {
		a := &agent{w: w, id: structs.AgentID(fmt.Sprintf("agent-%d", i)), links: map[*gateway]*wire{}, speed: 1}
		a.zone = fmt.Sprintf("zone-%d", i%3)
		a.capacity = capacity
		a.boot()
		w.agents = append(w.agents, a)
	}
	w.advance(20 * time.Millisecond)
	return w
}

// advance runs the world for a time.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for w.now < end {
		w.now += worldTick
		w.deliver()
		for _, a := range w.agents {
			a.step()
		}
		for _, g := range w.gateways {
			g.step()
		}
	}
}

func (w *world) deliver() {
	sort.SliceStable(w.later, func(i, j int) bool {
		if w.later[i].at != w.later[j].at {
			return w.later[i].at < w.later[j].at
		}
		return w.later[i].seq < w.later[j].seq
	})
	for len(w.later) > 0 && w.later[0].at <= w.now {
		e := w.later[0]
		w.later = w.later[1:]
		e.what()
	}
}

// gateway is a model of the process around a scheduler.
type gateway struct {
	w           *world
	number      int
	incarnation uint64
	machine     *schedule.Scheduler
	frozen      bool
	waiter      schedule.Waiter
	held        []func()
}

func (g *gateway) boot() {
	g.incarnation++
	ref := structs.GatewayRef{
		ID: structs.GatewayID(fmt.Sprintf("gateway-%d", g.number)), Incarnation: structs.Incarnation(g.incarnation),
	}
	g.machine = schedule.New(g.w.now, schedule.Options{Self: ref, Zone: fmt.Sprintf("zone-%d", g.number%3), RunLease: runLease, OffRackFactor: 1.5})
	g.held = nil
}

// kill restarts the process: its links end and its jobs are lost.
func (g *gateway) kill() {
	for _, a := range g.w.agents {
		if l := a.links[g]; l != nil {
			l.end()
		}
	}
	g.boot()
}

// run passes an input to the machine, or keeps it while the process is frozen.
func (g *gateway) run(input func()) {
	if g.frozen {
		g.held = append(g.held, input)
		return
	}
	input()
}

func (g *gateway) submit(job *structs.JobSpec, route structs.Route, limit time.Duration) schedule.Waiter {
	g.waiter++
	waiter := g.waiter
	g.run(func() {
		g.machine.Submit(g.w.now, schedule.Submission{Waiter: waiter, Job: job, Route: route, Timeout: limit})
	})
	return waiter
}

func (g *gateway) leave(job string, waiter schedule.Waiter) {
	g.run(func() { g.machine.CallerLeft(g.w.now, job, waiter) })
}

func (g *gateway) step() {
	if g.frozen {
		return
	}
	held := g.held
	g.held = nil
	for _, input := range held {
		input()
	}
	for _, action := range g.machine.Flush(g.w.now) {
		switch action := action.(type) {
		case schedule.Send:
			for _, a := range g.w.agents {
				if l := a.links[g]; a.id == action.Agent && l != nil {
					l.toAgent(action.Message)
				}
			}
		case schedule.CloseLink:
			for _, a := range g.w.agents {
				if l := a.links[g]; a.id == action.Agent && l != nil {
					l.end()
				}
			}
		case schedule.Answer:
			g.w.answers[action.Job] = append(g.w.answers[action.Job], action)
			g.w.answeredAt[action.Job] = g.w.now
			if action.Outcome == schedule.OutcomeRefused && !g.w.sentAgain[action.Job] && g.w.started[action.Job] > 0 {
				g.w.t.Fatalf("%v: job %s refused as not run after %d starts", g.w.now, action.Job, g.w.started[action.Job])
			}
		}
	}
}

// wire is one link between an agent and a gateway.
type wire struct {
	a     *agent
	g     *gateway
	ended bool
	// cut loses all messages without ending the link.
	cut     bool
	heardA  time.Duration
	heardG  time.Duration
	latency time.Duration
}

func (l *wire) toAgent(message any) {
	if l.cut {
		return
	}
	l.a.w.after(l.latency, func() {
		if !l.ended && !l.cut {
			l.heardA = l.a.w.now
			l.a.run(func() {
				if !l.ended {
					l.a.receive(l, message)
				}
			})
		}
	})
}

func (l *wire) toGateway(message any) {
	if l.cut {
		return
	}
	l.a.w.after(l.latency, func() {
		if l.ended || l.cut {
			return
		}
		l.heardG = l.a.w.now
		l.g.run(func() {
			if l.ended {
				return
			}
			now, id := l.a.w.now, l.a.id
			switch m := message.(type) {
			case *structs.ServerReport:
				l.g.machine.HandleServerReport(now, id, m)
			case *structs.ResourceReport:
				l.g.machine.HandleResourceReport(now, id, m)
			case *structs.PlacementEvents:
				l.g.machine.HandlePlacementEvents(now, id, m)
			}
		})
	})
}

func (l *wire) end() {
	if l.ended {
		return
	}
	l.ended = true
	delete(l.a.links, l.g)
	g, a := l.g, l.a
	incarnation := g.incarnation
	g.run(func() {
		if g.incarnation == incarnation {
			g.machine.Unlinked(g.w.now, a.id)
		}
	})
	ref := structs.GatewayRef{
		ID: structs.GatewayID(fmt.Sprintf("gateway-%d", g.number)), Incarnation: structs.Incarnation(incarnation),
	}
	a.run(func() { a.machine.GatewayUnlinked(a.w.now, ref) })
}

// agent is a model of the process around a room, with its server.
type agent struct {
	w           *world
	id          structs.AgentID
	zone        string
	incarnation uint64
	machine     *supervisor.Supervisor
	links       map[*gateway]*wire
	frozen      bool
	held        []func()
	asking      bool
	speed       float64
	labels      []string
	draining    bool
	zoneOut     bool

	// The server.
	capacity structs.Resources
	token    uint64
	dead     bool
	grey     bool // fails all runs
	hangs    bool // runs make no progress
	born     int64
	// knownBorn is the incarnation that the agent has called.
	knownBorn int64
	bornAt    time.Duration // the server's clock begins at 0 here
	lease     time.Duration
	runs      map[supervisor.RunRef]*serverRun
	highest   map[string]uint32
	ends      []supervisor.ListedEnd
	number    uint64
}

type serverRun struct {
	began time.Duration
	ends  time.Duration
	id    int
}

func (a *agent) boot() {
	a.incarnation++
	a.machine = supervisor.New(a.w.now, supervisor.Options{
		Self: structs.AgentRef{ID: a.id, Incarnation: structs.Incarnation(a.incarnation)}, Zone: a.zone,
		TaskName: taskName, RunLease: runLease, Token: a.incarnation * firstToken,
	})
	a.held, a.asking, a.knownBorn = nil, false, 0
	if a.runs == nil {
		a.reborn()
	}
	a.report()
}

func (a *agent) report() {
	a.machine.SetServer(a.w.now, supervisor.Server{
		ID: "server-" + string(a.id), StartTime: a.born, Service: "service", Capacity: a.capacity, Draining: a.draining,
		Labels: a.labels,
	})
	if a.knownBorn != a.born && !a.asking {
		a.knownBorn = a.born
		a.ask()
	}
}

// kill restarts the agent process; the server goes on until its lease lapses.
func (a *agent) kill() {
	for _, g := range a.w.gateways {
		if l := a.links[g]; l != nil {
			l.end()
		}
	}
	a.boot()
}

// reborn restarts the server under the same id.
func (a *agent) reborn() {
	for ref := range a.runs {
		a.w.note(ref.Task, "%s is born anew", a.id)
		a.w.taskEnded(ref.Task)
	}
	a.born++
	a.bornAt, a.token = a.w.now, 0
	a.runs, a.highest, a.ends, a.number = map[supervisor.RunRef]*serverRun{}, map[string]uint32{}, nil, 0
	a.lease = 0
}

func (a *agent) run(input func()) {
	if a.frozen {
		a.held = append(a.held, input)
		return
	}
	input()
}

func (a *agent) receive(l *wire, message any) {
	ref := structs.GatewayRef{
		ID: structs.GatewayID(fmt.Sprintf("gateway-%d", l.g.number)), Incarnation: structs.Incarnation(l.g.incarnation),
	}
	a.machine.RecordContact(a.w.now, ref)
	switch m := message.(type) {
	case *structs.Resume:
		a.machine.GatewayLinked(a.w.now, m)
	case *structs.Place:
		for _, t := range m.Tasks {
			a.w.note(taskName(m.Job, m.Step, t.Index), "%s places run %d at %s", ref.ID, t.Run, a.id)
		}
		a.machine.Place(a.w.now, ref, m)
	case *structs.Stop:
		a.machine.Stop(a.w.now, ref, m)
	}
}

func (a *agent) step() {
	a.serve()
	if a.frozen {
		return
	}
	held := a.held
	a.held = nil
	for _, input := range held {
		input()
	}
	a.dial()
	for _, action := range a.machine.Flush(a.w.now) {
		switch action := action.(type) {
		case supervisor.CallStart:
			a.machine.LeaseRenewalSent(a.w.now)
			a.callStart(action)
		case supervisor.CallStop:
			a.callStop(action)
		case supervisor.CloseLink:
			for _, g := range a.w.gateways {
				if l := a.links[g]; l != nil && string(action.Gateway.ID) == fmt.Sprintf("gateway-%d", g.number) {
					l.end()
				}
			}
		case supervisor.LogEntry:
			a.w.note(action.Task, "%s run %d: %s %s", a.id, action.Run, action.Message, action.Detail)
		case supervisor.Send:
			for _, g := range a.w.gateways {
				if l := a.links[g]; l != nil && string(action.Gateway.ID) == fmt.Sprintf("gateway-%d", g.number) {
					l.toGateway(action.Message)
				}
			}
		}
	}
	if (a.machine.HasActiveRuns() || a.machine.ServerUnresponsive() || !a.machine.Reconciled() || !a.machine.TokenConfirmed()) && !a.asking {
		a.ask()
	}
}

// dial makes missing links and ends silent ones.
func (a *agent) dial() {
	const silence = 1200 * time.Millisecond
	for _, g := range a.w.gateways {
		l := a.links[g]
		if l != nil && (a.w.now-l.heardA > silence || a.w.now-l.heardG > silence) {
			l.end()
			l = nil
		}
		if l != nil || g.frozen {
			continue
		}
		l = &wire{a: a, g: g, latency: time.Millisecond, heardA: a.w.now, heardG: a.w.now}
		a.links[g] = l
		g.machine.Linked(a.w.now, a.id)
		l.toGateway(a.machine.ServerReport())
	}
}

// call sends an order to the server and its answer back; either may be late or lost.
func (a *agent) call(order func() supervisor.Answer, answered func(supervisor.Answer)) {
	const timeout = 120 * time.Millisecond
	delay, lost := a.w.lateOrder()
	incarnation, done := a.incarnation, false
	born := a.born
	reply := func(answer supervisor.Answer) {
		if !done && a.incarnation == incarnation {
			done = true
			a.run(func() { answered(answer) })
		}
	}
	a.w.after(timeout, func() { reply(supervisor.AnswerNone) })
	a.w.after(delay, func() {
		if a.dead {
			return
		}
		// The users' platform does not carry out an order to an earlier incarnation before the agent's first call to the
		// present one: docs/platform.md, question 1, has the trace. Nothing in the protocol could prevent that start.
		if a.born != born && a.token == 0 {
			return
		}
		if answer := order(); !lost {
			a.w.after(worldTick, func() { reply(answer) })
		}
	})
}

func (a *agent) callStart(action supervisor.CallStart) {
	if a.zoneOut || a.draining {
		a.w.t.Fatalf("%v: start of %s after %s was told to take no work", a.w.now, action.Task, a.id)
	}
	deadline, token := a.w.now-a.bornAt+runLease, action.Token
	machine := a.machine
	a.call(func() supervisor.Answer { return a.start(action.RunRef, deadline, token) },
		func(answer supervisor.Answer) { machine.StartAnswered(a.w.now, action.RunRef, answer) })
}

func (a *agent) callStop(action supervisor.CallStop) {
	token, machine := action.Token, a.machine
	a.w.stops++
	a.call(func() supervisor.Answer {
		if !a.accept(token) {
			return supervisor.AnswerUnhealthy
		}
		a.highest[action.Task] = max(a.highest[action.Task], action.Run)
		if r := a.runs[action.RunRef]; r != nil {
			r.ends = min(r.ends, a.w.now+stopTime)
			a.w.after(stopTime, func() { a.end(action.RunRef, r, supervisor.EndLost) })
		}
		return supervisor.AnswerOK
	}, func(answer supervisor.Answer) { machine.StopAnswered(a.w.now, action.RunRef, answer) })
}

func (a *agent) accept(token uint64) bool {
	if token < a.token {
		return false
	}
	a.token = token
	return true
}

// ask asks the server for its list.
func (a *agent) ask() {
	const limit = 100 * time.Millisecond
	a.asking = true
	asked, seen, machine, token, incarnation := a.w.now, a.machine.LastEndNumber(), a.machine, a.machine.Token(), a.incarnation
	born := a.born
	renew := machine.CanRenewLease()
	if renew {
		machine.LeaseRenewalSent(a.w.now)
	}
	done := false
	a.w.after(limit, func() {
		if !done && a.incarnation == incarnation {
			done, a.asking = true, false
			a.run(func() { machine.ListFailed(a.w.now, false) })
		}
	})
	a.w.after(2*time.Millisecond, func() {
		// A connection does not outlive the server's process.
		if a.dead || done || a.born != born || !a.accept(token) {
			return
		}
		if renew {
			a.lease = max(a.lease, asked+runLease)
		}
		list := supervisor.RunList{StartTime: a.born, RequestedAt: asked}
		for ref := range a.runs {
			list.Running = append(list.Running, supervisor.ListedRun{RunRef: ref, Percent: a.progress(ref)})
		}
		sort.Slice(list.Running, func(i, j int) bool { return list.Running[i].Task < list.Running[j].Task })
		for _, e := range a.ends {
			if e.Number > seen {
				list.Ended = append(list.Ended, e)
			}
		}
		a.w.after(worldTick, func() {
			if !done && a.incarnation == incarnation {
				done, a.asking = true, false
				a.run(func() { machine.HandleList(a.w.now, list) })
			}
		})
	})
}

func (a *agent) progress(ref supervisor.RunRef) float64 {
	r := a.runs[ref]
	if a.hangs || r.ends <= r.began {
		return 0
	}
	return 100 * float64(a.w.now-r.began) / float64(r.ends-r.began)
}

// start carries a start out at the server. The deadline is on the server's clock.
func (a *agent) start(ref supervisor.RunRef, deadline time.Duration, token uint64) supervisor.Answer {
	switch {
	case !a.accept(token):
		return supervisor.AnswerUnhealthy
	case a.runs[ref] != nil:
		return supervisor.AnswerOK
	case ref.Run <= a.highest[ref.Task]:
		return supervisor.AnswerOldRun
	case a.w.now-a.bornAt > deadline:
		return supervisor.AnswerUnhealthy
	}
	a.lease = max(a.lease, min(a.bornAt+deadline, a.w.now+runLease))
	a.highest[ref.Task] = ref.Run
	took := time.Duration(float64(a.w.work(ref.Task)) * a.speed)
	if a.hangs {
		took = time.Hour
	}
	r := &serverRun{began: a.w.now, ends: a.w.now + took, id: a.w.sequence}
	a.runs[ref] = r
	a.w.note(ref.Task, "run %d starts at %s, incarnation %d", ref.Run, a.id, a.incarnation)
	a.w.taskStarted(ref.Task)
	end := supervisor.EndDone
	if a.grey {
		end = supervisor.EndFailed
	}
	a.w.after(took, func() { a.end(ref, r, end) })
	return supervisor.AnswerOK
}

func (a *agent) end(ref supervisor.RunRef, r *serverRun, end supervisor.End) {
	if a.runs[ref] != r {
		return
	}
	delete(a.runs, ref)
	a.w.note(ref.Task, "run %d ends as %d at %s", ref.Run, end, a.id)
	a.w.taskEnded(ref.Task)
	a.w.history[ref.Task] = pastRun{agent: a.id, began: r.began, ended: a.w.now}
	a.number++
	a.ends = append(a.ends, supervisor.ListedEnd{RunRef: ref, Number: a.number, End: end})
	if end == supervisor.EndDone {
		a.w.finished++
	}
}

// serve lets the lease of the server lapse.
func (a *agent) serve() {
	if len(a.runs) == 0 || a.w.now < a.lease {
		return
	}
	for ref, r := range a.runs {
		a.end(ref, r, supervisor.EndLost)
	}
}

func (w *world) note(task, format string, args ...any) {
	w.trace[task] = append(w.trace[task], fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) taskStarted(task string) {
	w.runningTasks[task]++
	w.started[jobOf(task)]++
	if w.runningTasks[task] > 1 {
		w.t.Fatalf("%v: two runs of task %s at the same time: %q", w.now, task, w.trace[task])
	}
}

func (w *world) taskEnded(task string) { w.runningTasks[task]-- }

func jobOf(task string) string {
	for i := range task {
		if task[i] == '/' {
			return task[:i]
		}
	}
	return task
}

// caller sends one job and sends it again through another gateway after a lost one, as the platform's clients do.
type caller struct {
	w      *world
	job    *structs.JobSpec
	route  structs.Route
	g      *gateway
	inc    uint64
	waiter schedule.Waiter
	// pausing is set from the loss of a connection until the job is sent again; there is no connection to lose then.
	pausing bool
}

func (w *world) call(g *gateway, job *structs.JobSpec, route structs.Route) *caller {
	c := &caller{w: w, job: job, route: route}
	c.send(g)
	return c
}

func (c *caller) send(g *gateway) {
	c.g, c.inc = g, g.incarnation
	c.waiter = g.submit(c.job, c.route, 3*time.Second)
}

// drop breaks the caller's connection. The caller sends the job again later, through any gateway.
func (c *caller) drop(next *gateway) {
	if c.pausing || len(c.w.answers[c.job.ID]) > 0 {
		return
	}
	c.pausing = true
	if c.g.incarnation == c.inc {
		c.g.leave(c.job.ID, c.waiter)
	}
	c.w.after(callerWait, func() {
		if !next.frozen {
			c.pausing = false
			c.w.sentAgain[c.job.ID] = true
			c.send(next)
		}
	})
}

func testRoute(priority int) structs.Route {
	return structs.Route{
		Name: "route-" + strconv.Itoa(priority), Service: "service", Priority: priority, TargetLatency: 60 * time.Millisecond,
		Stretch: 1.6, MaxAttempts: 3,
	}
}

func testJob(id string, width int, need structs.Resources) *structs.JobSpec {
	return &structs.JobSpec{ID: id, Steps: []structs.StepSpec{{Count: width, Need: need, Estimate: 60 * time.Millisecond}}}
}

func drawDuration(t *rapid.T, low, high int, label string) time.Duration {
	return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
}
