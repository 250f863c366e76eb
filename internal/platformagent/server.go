package platformagent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/supervisor"
	"rosedrift.example/rosedrift/platform"
)

// Times of the calls to the backend server.
const (
	// orderTimeout is how long a start or stop may stay without an answer. The server is on the same VM and answers in
	// a few ms; an order that is not answered is carried out seconds later, if at all.
	orderTimeout = 60 * time.Millisecond
	// holdWait is how long a list waits for an end, holdTimeout how long its answer may take beyond. While a list is lost
	// the ends of runs are not seen, and the shortest jobs have about 100 ms of slack.
	holdWait    = 60 * time.Millisecond
	holdTimeout = 60 * time.Millisecond
	// holdWaitStopping is the same while the room waits for the proof that a run is gone.
	holdWaitStopping = 30 * time.Millisecond
	// doubtTimeout bounds a list without a wait, sent because a call was not answered.
	doubtTimeout = 60 * time.Millisecond
	// holdPause is the time between lists that fail.
	holdPause = 20 * time.Millisecond
	// serverConnections bounds the connections to the server; one carries the waiting list, the others orders.
	serverConnections = 32
	// rememberTries and rememberPause cover a store that is away at the start for about one interval of heartbeats.
	rememberTries = 8
	rememberPause = 150 * time.Millisecond
)

// caller calls the backend server.
type caller struct {
	agent  *Agent
	client *platform.ServerClient
	wake   chan struct{}

	// mu guards the fields below.
	mu       sync.Mutex
	server   string
	born     int64
	kept     keptReport
	clock    int64 // the server's clock in milliseconds
	clockAt  time.Time
	cancel   context.CancelFunc // ends the list that is under way
	doubtful bool               // whether that list is short already
}

// keptReport is what matters of the report in the store.
type keptReport struct {
	server   string
	born     int64
	draining bool
}

func newCaller(a *Agent) *caller {
	return &caller{
		agent:  a,
		client: platform.NewServerClient(a.options.Settings.ServerAddress, serverConnections),
		wake:   make(chan struct{}, 1),
	}
}

// remember uses the report that an earlier agent has left in the store, until the first heartbeat, which may be a whole
// interval away. A server that has ended since does not answer to its id.
func (c *caller) remember(ctx context.Context) {
	for range rememberTries {
		entry, err := c.agent.links.store.Get(ctx, c.reportKey())
		if store.IsKind(err, store.KindNotFound) || c.known() {
			return
		}
		if err != nil {
			_ = level.Info(c.agent.logger).Log("msg", "last server report not read", "err", err)
			ctxtime.Sleep(ctx, rememberPause)
			continue
		}
		beat, err := platform.ParseReport(entry.Value)
		if err != nil || beat.Address != c.agent.options.Settings.ServerAddress {
			_ = level.Info(c.agent.logger).Log("msg", "last server report not used", "err", err)
			return
		}
		if !c.known() {
			_ = level.Info(c.agent.logger).Log("msg", "server known from the last report", "server", beat.ID)
			c.heard(beat)
		}
		return
	}
}

func (c *caller) known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server != ""
}

func (c *caller) reportKey() string { return platform.ServerPrefix + c.agent.options.Settings.Name }

// keep writes a report to the store. Without it the next agent waits for a heartbeat.
func (c *caller) keep(beat platform.Heartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), platform.DefaultCallTimeout)
	defer cancel()
	if _, err := c.agent.links.store.Put(ctx, c.reportKey(), platform.EncodeReport(beat), store.AnyVersion, 0); err != nil {
		_ = level.Info(c.agent.logger).Log("msg", "server report not kept", "err", err)
	}
}

// heard passes a heartbeat of the server on. A server that was born anew is called at once, so that it knows the fencing
// token before a late order of an earlier agent can reach it.
func (c *caller) heard(beat platform.Heartbeat) {
	c.mu.Lock()
	if beat.Born != 0 && beat.Born < c.born {
		c.mu.Unlock()
		c.kick() // most likely a late heartbeat of an earlier incarnation; the server's list tells
		return
	}
	changed := c.server != beat.ID || c.born != beat.Born
	c.server, c.born = beat.ID, beat.Born
	kept := c.kept
	c.kept = keptReport{server: beat.ID, born: beat.Born, draining: beat.Draining}
	write := kept != c.kept
	if changed {
		c.clock = 0
	}
	c.mu.Unlock()
	server := supervisor.Server{
		ID: beat.ID, StartTime: beat.Born, Service: beat.Service, Labels: beat.Labels, Capacity: beat.Capacity,
		Draining: beat.Draining,
	}
	c.agent.loop.Post(func(now time.Duration) { c.agent.room.SetServer(now, server) })
	if changed {
		c.kick()
	}
	if write {
		go c.keep(beat)
	}
}

// kick wakes the list of runs up.
func (c *caller) kick() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// deadline returns the end of a lease that begins now, on the server's clock, and the server of an order.
func (c *caller) deadline() (server string, deadline int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clock != 0 {
		deadline = c.clock + time.Since(c.clockAt).Milliseconds() + c.agent.options.Settings.Bounds.RunLease.Milliseconds()
	}
	return c.server, deadline
}

func (c *caller) learnClock(clock int64) {
	if clock == 0 {
		return
	}
	c.mu.Lock()
	c.clock, c.clockAt = clock, time.Now()
	c.mu.Unlock()
}

func (c *caller) start(action supervisor.CallStart) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	server, deadline := c.deadline()
	answer := platform.AnswerNone
	var err error
	if deadline != 0 {
		var clock int64
		answer, clock, err = c.client.Start(ctx, server, platform.StartOrder{
			Task: action.Task, Run: action.Run, Payload: action.Payload, Deadline: deadline,
			Token: action.Token,
		})
		c.learnClock(clock)
	} else {
		answer = platform.AnswerUnhealthy // the server's clock is not known yet, so nothing was sent
	}
	if err != nil {
		_ = level.Info(c.agent.logger).Log("msg", "start not carried out", "task", action.Task, "run", action.Run, "err", err)
	}
	c.agent.loop.Post(func(now time.Duration) {
		if answer == platform.AnswerFenced {
			c.agent.room.TokenRejected(now, action.Token)
		}
		c.agent.room.StartAnswered(now, action.RunRef, roomAnswer(answer))
	})
}

func (c *caller) stop(action supervisor.CallStop) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	server, _ := c.deadline()
	answer, err := c.client.Stop(ctx, server, action.Task, action.Run, action.Token)
	if err != nil {
		_ = level.Info(c.agent.logger).Log("msg", "stop not answered", "task", action.Task, "run", action.Run, "err", err)
	}
	c.agent.loop.Post(func(now time.Duration) {
		if answer == platform.AnswerFenced {
			c.agent.room.TokenRejected(now, action.Token)
		}
		c.agent.room.StopAnswered(now, action.RunRef, roomAnswer(answer))
	})
}

func roomAnswer(answer platform.Answer) supervisor.Answer {
	switch answer {
	case platform.AnswerNone:
		return supervisor.AnswerNone
	case platform.AnswerOK:
		return supervisor.AnswerOK
	case platform.AnswerOldRun:
		return supervisor.AnswerOldRun
	case platform.AnswerNoRoom:
		return supervisor.AnswerNoResources
	case platform.AnswerFenced, platform.AnswerLate, platform.AnswerUnhealthy, platform.AnswerOther,
		platform.AnswerRefused:
	}
	return supervisor.AnswerUnhealthy
}

// forget drops a server whose address has another one now. The next heartbeat names it.
func (c *caller) forget(server string) {
	c.mu.Lock()
	if c.server == server {
		c.server, c.born, c.clock = "", 0, 0
	}
	c.mu.Unlock()
	_ = level.Info(c.agent.logger).Log("msg", "another server answers", "server", server)
	c.agent.loop.Post(func(now time.Duration) { c.agent.room.ServerDeregistered(now, server) })
}

// run asks for the list of runs while the room is busy or the server silent, and once whenever the server is new.
func (c *caller) run(ctx context.Context) error {
	go c.remember(ctx)
	c.kick()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		}
		for ctx.Err() == nil {
			ask, ok := c.prepare()
			if !ok {
				break
			}
			c.hold(ctx, ask)
			if !ask.again {
				break
			}
		}
	}
}

// question is one call for the list of runs.
type question struct {
	server string
	order  platform.HoldOrder
	asked  time.Duration
	// doubtful is set while the server may be silent.
	doubtful bool
	// again is false if the list is asked for once only.
	again bool
}

// prepare returns the next question. It returns false if the loop has ended. Before the first heartbeat the question goes
// to whichever server is there, to learn early what an earlier agent has left running.
func (c *caller) prepare() (question, bool) {
	server, deadline := c.deadline()
	q := question{server: server, order: platform.HoldOrder{Wait: holdWait}}
	ok := c.agent.loop.Call(func(now time.Duration) {
		r := c.agent.room
		q.order.Token, q.order.SeenUpTo, q.asked = r.Token(), r.LastEndNumber(), now
		q.doubtful = r.ServerUnresponsive() || r.HasUnansweredCalls()
		q.again = r.HasActiveRuns() || r.ServerUnresponsive() || !r.Reconciled() || !r.TokenConfirmed()
		if r.HasStoppingRuns() {
			q.order.Wait = holdWaitStopping
		}
		if q.doubtful || deadline == 0 || !q.again {
			q.order.Wait = 0
		}
		if r.HasActiveRuns() && r.CanRenewLease() {
			q.order.Deadline = deadline
			r.LeaseRenewalSent(now)
		}
	})
	return q, ok
}

// cut ends the list that is under way, because a start was not answered and the server may be silent.
func (c *caller) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil && !c.doubtful {
		c.cancel()
	}
}

// hold asks for one list and passes it on.
func (c *caller) hold(ctx context.Context, q question) {
	limit := q.order.Wait + holdTimeout
	if q.doubtful {
		limit = doubtTimeout
	}
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c.mu.Lock()
	c.cancel, c.doubtful = cancel, q.doubtful
	c.mu.Unlock()
	answer, held, err := c.client.Hold(call, q.server, q.order)
	c.mu.Lock()
	c.cancel = nil
	c.mu.Unlock()
	if answer != platform.AnswerOK {
		c.holdFailed(ctx, q, answer, err)
		return
	}
	c.learnClock(held.Clock)
	list := supervisor.RunList{StartTime: held.Born, RequestedAt: q.asked}
	for _, r := range held.Running {
		list.Running = append(list.Running, supervisor.ListedRun{
			RunRef: supervisor.RunRef{Task: r.Task, Run: r.Run}, Percent: r.Percent,
		})
	}
	for _, e := range held.Ended {
		list.Ended = append(list.Ended, supervisor.ListedEnd{
			RunRef: supervisor.RunRef{Task: e.Task, Run: e.Run}, Number: e.Number, End: roomEnd(e.End),
		})
	}
	c.agent.loop.Post(func(now time.Duration) { c.agent.room.HandleList(now, list) })
}

// holdFailed reports a list that was not answered, unless it was cut to ask again at once.
func (c *caller) holdFailed(ctx context.Context, q question, answer platform.Answer, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if answer == platform.AnswerFenced {
		c.agent.loop.Post(func(now time.Duration) { c.agent.room.TokenRejected(now, q.order.Token) })
		return
	}
	if answer == platform.AnswerOther {
		c.forget(q.server)
	}
	_ = level.Info(c.agent.logger).Log("msg", "list of runs not answered", "answer", answer, "err", err)
	gone := platform.IsRefusedDial(err)
	if answer == platform.AnswerNone {
		c.agent.loop.Post(func(now time.Duration) { c.agent.room.ListFailed(now, gone) })
	}
	ctxtime.Sleep(ctx, holdPause)
}

func roomEnd(end platform.RunEnd) supervisor.End {
	switch end {
	case platform.EndDone:
		return supervisor.EndDone
	case platform.EndFailed:
		return supervisor.EndFailed
	case platform.EndStopped, platform.EndLapsed, platform.EndOther:
	}
	return supervisor.EndLost
}
