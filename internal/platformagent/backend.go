package platformagent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/supervisor"
	"rosedrift.example/rosedrift/platform"
)

// Timeouts and limits of the calls to the backend server.
const (
	// callTimeout bounds a start or stop request. The server is on the same VM and answers within a few ms; a request
	// that it does not answer is executed seconds later, if at all.
	callTimeout = 60 * time.Millisecond
	// A request for the list of runs is a long poll. listWait is how long the server may wait for the end of a run
	// before it answers, listTimeout how much longer the response may take. If the response is lost, the agent learns
	// of no ends until the timeout, and the shortest jobs have only about 100 ms of slack.
	listWait    = 60 * time.Millisecond
	listTimeout = 60 * time.Millisecond
	// listWaitStopping replaces listWait while the supervisor waits for a list that proves that a run has stopped.
	listWaitStopping = 30 * time.Millisecond
	// suspectTimeout bounds a request for the list that has no wait, sent after a call was not answered.
	suspectTimeout = 60 * time.Millisecond
	// listRetryDelay is the pause after a failed request for the list. While calls without an answer may be carried out, it is
	// openCallRetryDelay: the next incarnation of the server must get the fencing token before them.
	listRetryDelay     = 20 * time.Millisecond
	openCallRetryDelay = 5 * time.Millisecond
	// serverConnections bounds the connections to the server: one for the long poll, the others for starts and stops.
	serverConnections = 32
)

// backendClient calls the backend server and tracks its incarnation, clock and runs.
type backendClient struct {
	agent  *Agent
	client *platform.ServerClient
	// wake makes run request the list of runs.
	wake chan struct{}
	// reportChanged makes storeReports compare the last report with the one in the store.
	reportChanged chan struct{}

	// mu guards the fields below.
	mu           sync.Mutex
	incarnations incarnations
	// stored describes the report that is in the store, unstored is a newer one that must replace it or nil. With remove
	// set, the report must be removed because its server has left.
	stored   storedReport
	unstored *platform.Heartbeat
	remove   bool
	// clock is the server's clock in milliseconds as read at clockAt, a time of the event loop's clock. It is 0 if it is
	// not known.
	clock   int64
	clockAt time.Duration
	// cancelList cancels the request for the list that is in progress, nil if there is none.
	cancelList context.CancelFunc
	// listIsShort is set if that request has no wait.
	listIsShort bool
}

func newBackendClient(a *Agent) *backendClient {
	return &backendClient{
		agent:  a,
		client: platform.NewServerClient(a.options.Settings.ServerAddress, serverConnections),
		wake:   make(chan struct{}, 1), reportChanged: make(chan struct{}, 1),
	}
}

// hasServer reports whether the ID of the server is known.
func (c *backendClient) hasServer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnations.current.server != ""
}

// heartbeatReceived passes a heartbeat of the current incarnation of the server to the supervisor. If it is of another one,
// the server is asked at once which one runs: a server that has restarted so gets the fencing token before a late request of
// an earlier agent can reach it.
func (c *backendClient) heartbeatReceived(heartbeat platform.Heartbeat) {
	c.mu.Lock()
	known := c.incarnations.current
	switch c.incarnations.handleHeartbeat(c.agent.loop.Now(), heartbeat) {
	case heartbeatLate:
		c.mu.Unlock()
		_ = level.Info(c.agent.logger).Log("msg", "late heartbeat ignored", "server", heartbeat.ID, "start_time", heartbeat.StartTime,
			"sequence", heartbeat.Sequence)
		return
	case heartbeatUnconfirmed:
		if c.cancelList != nil && !c.listIsShort {
			c.cancelList()
		}
		c.mu.Unlock()
		c.agent.metrics.unconfirmedHeartbeats.Inc(1)
		_ = level.Info(c.agent.logger).Log("msg", "heartbeat of another incarnation, asking which one runs", "server", heartbeat.ID,
			"start_time", heartbeat.StartTime, "known", known.server, "known_start_time", known.startTime)
		c.requestList()
		return
	case heartbeatCurrent:
	}
	changed := c.reportAccepted(heartbeat, known)
	c.mu.Unlock()
	c.agent.loop.Post(func(now time.Duration) { c.agent.supervisor.SetServer(now, serverOf(heartbeat)) })
	if changed {
		c.requestList()
	}
	c.signalReportChanged()
}

// reportAccepted schedules the write of an accepted heartbeat to the store. known is the incarnation that was current before; it
// reports whether it is another one. The caller holds c.mu.
func (c *backendClient) reportAccepted(heartbeat platform.Heartbeat, known incarnation) bool {
	c.unstored, c.remove = nil, false
	if c.stored != describeReport(heartbeat) {
		c.unstored = &heartbeat
	}
	changed := c.incarnations.current != known
	if changed {
		c.clock = 0
	}
	return changed
}

func serverOf(heartbeat platform.Heartbeat) supervisor.Server {
	return supervisor.Server{
		ID: heartbeat.ID, StartTime: heartbeat.StartTime, Service: heartbeat.Service, Labels: heartbeat.Labels,
		Capacity: heartbeat.Capacity, Draining: heartbeat.Draining,
	}
}

// requestList makes run request the list of runs, now or after the request in progress.
func (c *backendClient) requestList() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// leaseDeadline returns the server to call, and on the server's clock the given time of the event loop's clock. The
// deadline is 0 while the server's clock is not known.
func (c *backendClient) leaseDeadline(end time.Duration) (server string, deadline int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clock != 0 {
		// The server's clock may have fallen behind since it was read.
		age := c.agent.loop.Now() - c.clockAt
		drift := time.Duration((structs.ClockDriftFactor - 1) * float64(age))
		drift = min(drift, c.agent.options.Settings.Bounds.RunLease/2)
		deadline = c.clock + (end - c.clockAt - drift).Milliseconds()
	}
	return c.incarnations.current.server, deadline
}

// currentServer returns the server to call.
func (c *backendClient) currentServer() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnations.current.server
}

// setClock stores the server's clock as read from a response.
func (c *backendClient) setClock(clock int64) {
	if clock == 0 {
		return
	}
	c.mu.Lock()
	c.clock, c.clockAt = clock, c.agent.loop.Now()
	c.mu.Unlock()
}

// start calls the server to start a run, and passes the answer to the supervisor.
func (c *backendClient) start(action supervisor.CallStart) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	server, deadline := c.leaseDeadline(action.LeaseEnd)
	answer, sent := platform.AnswerNone, false
	var err error
	if deadline != 0 && c.agent.loop.Now() < action.LeaseEnd {
		var clock int64
		answer, clock, err = c.client.Start(ctx, server, platform.StartRequest{
			Task: action.Task, Run: action.Run, Payload: action.Payload, Deadline: deadline,
			Token: action.Token,
		})
		c.setClock(clock)
		sent = !platform.IsConnectionRefused(err)
		if !sent {
			answer = platform.AnswerUnhealthy // no connection was established
		}
	} else {
		// Nothing is sent: without the server's clock there is no deadline, and a process that was paused must not
		// start a run after its lease.
		answer = platform.AnswerUnhealthy
	}
	if answer == platform.AnswerNone {
		c.agent.metrics.unansweredStarts.Inc(1)
	}
	if err != nil {
		_ = level.Info(c.agent.logger).Log("msg", "start failed", "task", action.Task, "run", action.Run, "server", server,
			"token", action.Token, "deadline_ms", deadline, "err", err)
	}
	c.agent.loop.Post(func(now time.Duration) {
		switch {
		case answer == platform.AnswerFenced:
			c.agent.supervisor.TokenRejected(now, action.Token)
		case answer == platform.AnswerNone && sent:
			c.agent.supervisor.CallUnanswered(now, action.Token, true)
		}
		c.agent.supervisor.StartAnswered(now, action.RunRef, convertAnswer(answer))
	})
}

// stop calls the server to stop a run, and passes the answer to the supervisor.
func (c *backendClient) stop(action supervisor.CallStop) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	server := c.currentServer()
	answer, err := c.client.Stop(ctx, server, action.Task, action.Run, action.Token)
	if err != nil {
		_ = level.Info(c.agent.logger).Log("msg", "stop failed", "task", action.Task, "run", action.Run, "err", err)
	}
	refused := platform.IsConnectionRefused(err)
	c.agent.loop.Post(func(now time.Duration) {
		switch {
		case answer == platform.AnswerFenced:
			c.agent.supervisor.TokenRejected(now, action.Token)
		case answer == platform.AnswerNone && !refused:
			c.agent.supervisor.CallUnanswered(now, action.Token, false)
		}
		c.agent.supervisor.StopAnswered(now, action.RunRef, convertAnswer(answer))
	})
}

// convertAnswer returns the supervisor's answer for that of the server. Refusals that the supervisor does not tell
// apart become AnswerUnhealthy.
func convertAnswer(answer platform.Answer) supervisor.Answer {
	switch answer {
	case platform.AnswerNone:
		return supervisor.AnswerNone
	case platform.AnswerOK:
		return supervisor.AnswerOK
	case platform.AnswerOldRun:
		return supervisor.AnswerOldRun
	case platform.AnswerNoResources:
		return supervisor.AnswerNoResources
	case platform.AnswerFenced:
		return supervisor.AnswerFenced
	case platform.AnswerLate, platform.AnswerUnhealthy, platform.AnswerWrongServer,
		platform.AnswerRefused:
	}
	return supervisor.AnswerUnhealthy
}

// serverLeft handles the deregistration of a server. Its report is removed from the store, so that an agent that starts
// later does not use it.
func (c *backendClient) serverLeft(id string) {
	c.mu.Lock()
	if c.incarnations.handleDeregistration(id) {
		c.clock, c.unstored, c.remove = 0, nil, true
	}
	c.mu.Unlock()
	c.signalReportChanged()
	c.agent.loop.Post(func(now time.Duration) { c.agent.supervisor.ServerDeregistered(now, id) })
}

// forgetServer forgets a server whose address now belongs to another one. The next heartbeat identifies that one.
func (c *backendClient) forgetServer(server string) {
	c.mu.Lock()
	ended := c.incarnations.handleWrongServer(server)
	if ended {
		c.clock = 0
	}
	c.mu.Unlock()
	if !ended {
		return
	}
	_ = level.Info(c.agent.logger).Log("msg", "another server answered at the address of the known one", "server", server)
	c.agent.loop.Post(func(now time.Duration) { c.agent.supervisor.ServerDeregistered(now, server) })
}

// run requests the list of runs after each requestList. It repeats the request while the server has runs or is
// unresponsive, until the runs are reconciled and the fencing token is confirmed, and while calls without an answer may be
// carried out.
func (c *backendClient) run(ctx context.Context) error {
	go c.restoreReport(ctx)
	c.requestList()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		}
		for ctx.Err() == nil {
			call, ok := c.nextListCall()
			if !ok {
				break
			}
			c.fetchList(ctx, call)
			if !call.repeat {
				break
			}
		}
	}
}

// listCall is one request for the list of runs. It also acknowledges the ends that the supervisor has processed, and
// may renew the lease of all runs.
type listCall struct {
	server  string
	request platform.ListRunsRequest
	// requestedAt is when the request was prepared, leaseEnd the end of the renewed lease or 0 if it is not renewed.
	requestedAt time.Duration
	leaseEnd    time.Duration
	// suspect is set if the server is unresponsive or has left a call unanswered. The request then has no wait and a
	// short timeout.
	suspect bool
	// hedged is set if the request is sent twice because calls get lost.
	hedged bool
	// repeat is set if another request follows at once.
	repeat bool
	// hasOpenCalls is set if calls without an answer may still be carried out.
	hasOpenCalls bool
}

// nextListCall prepares the next request. It returns false if the loop has ended. Before the first heartbeat the
// request names no server, so that whichever one runs answers it: the agent then learns early which runs an earlier
// agent has left.
func (c *backendClient) nextListCall() (listCall, bool) {
	call := listCall{request: platform.ListRunsRequest{Wait: listWait}}
	ok := c.agent.loop.Call(func(now time.Duration) {
		s := c.agent.supervisor
		call.request.Token, call.request.SeenUpTo, call.requestedAt = s.Token(), s.LastEndNumber(), now
		call.hasOpenCalls = s.HasOpenCalls(now)
		call.suspect = s.ServerUnresponsive() || s.HasUnansweredCalls() || s.CallsUnsettled(now) > 0
		call.repeat = s.HasActiveRuns() || s.ServerUnresponsive() || !s.Reconciled() || !s.TokenConfirmed() || call.hasOpenCalls
		if s.HasStoppingRuns() {
			call.request.Wait = listWaitStopping
		}
		call.request.Wait = min(call.request.Wait, s.ListWait(now, listWait))
		call.hedged = s.CallsGetLost(now)
		call.leaseEnd = s.RenewLease(now)
	})
	_, deadline := c.leaseDeadline(call.leaseEnd)
	c.mu.Lock()
	call.server = c.incarnations.addressee()
	if c.incarnations.candidate != nil {
		call.repeat, call.request.Wait = true, 0
	}
	c.mu.Unlock()
	if call.suspect || deadline == 0 || !call.repeat {
		call.request.Wait = 0
	}
	if call.leaseEnd > 0 {
		call.request.Deadline = deadline
	}
	return call, ok
}

// cutListShort cancels a long poll in progress after a call was not answered: the server may be unresponsive, and a
// request without a wait shows that sooner.
func (c *backendClient) cutListShort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelList != nil && !c.listIsShort {
		c.cancelList()
	}
}

// fetchList requests the list of runs once and passes it to the supervisor.
func (c *backendClient) fetchList(ctx context.Context, call listCall) {
	timeout := call.request.Wait + listTimeout
	if call.suspect {
		timeout = suspectTimeout
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.mu.Lock()
	c.cancelList, c.listIsShort = cancel, call.suspect
	c.mu.Unlock()
	answer, runs, err := c.listRuns(limited, call)
	c.mu.Lock()
	c.cancelList = nil
	c.mu.Unlock()
	if answer != platform.AnswerOK {
		c.listFailed(ctx, call, answer, err)
		return
	}
	c.listAnswered(call, runs)
}

// listAnswered handles the answer to a request for the list: it records which incarnation of the server has answered, and
// passes the list, and a report that it confirms, to the supervisor.
func (c *backendClient) listAnswered(call listCall, runs platform.RunList) {
	report := c.recordIncarnation(call, runs)
	c.setClock(runs.Clock)
	list := supervisor.RunList{StartTime: runs.StartTime, RequestedAt: call.requestedAt}
	for _, r := range runs.Running {
		list.Running = append(list.Running, supervisor.ListedRun{
			RunRef: supervisor.RunRef{Task: r.Task, Run: r.Run}, Percent: r.Percent,
		})
	}
	for _, e := range runs.Ended {
		list.Ended = append(list.Ended, supervisor.ListedEnd{
			RunRef: supervisor.RunRef{Task: e.Task, Run: e.Run}, Number: e.Number, End: convertEnd(e.End),
		})
	}
	c.agent.loop.Post(func(now time.Duration) {
		if report != nil {
			c.agent.supervisor.ConfirmServer(now, serverOf(*report))
		}
		c.agent.supervisor.HandleList(now, list)
	})
}

// recordIncarnation records which incarnation of the server has answered a request for the list. It returns the report that
// the answer has confirmed, or nil.
func (c *backendClient) recordIncarnation(call listCall, runs platform.RunList) *platform.Heartbeat {
	c.mu.Lock()
	known, candidate := c.incarnations.current, c.incarnations.candidate
	report := c.incarnations.handleList(c.agent.loop.Now(), call.server, runs.StartTime, call.requestedAt)
	if report != nil {
		c.reportAccepted(*report, known)
	}
	current, dropped := c.incarnations.current, candidate != nil && report == nil && c.incarnations.candidate == nil
	c.mu.Unlock()
	if report != nil {
		c.signalReportChanged()
	}
	if current != known || dropped {
		_ = level.Info(c.agent.logger).Log("msg", "incarnation of the server", "server", current.server, "start_time", current.startTime,
			"earlier_start_time", known.startTime, "reported", report != nil, "dropped_heartbeat", dropped)
	}
	return report
}

// listResult is the response to one request for the list.
type listResult struct {
	answer platform.Answer
	runs   platform.RunList
	err    error
}

// listRuns requests the list, twice at the same time if calls get lost: the end of a run then shows even if one response
// is lost. The later response is discarded, but not cut off, which would cost the connection and leave the request open.
func (c *backendClient) listRuns(ctx context.Context, call listCall) (platform.Answer, platform.RunList, error) {
	if !call.hedged {
		answer, runs, err := c.client.ListRuns(ctx, call.server, call.request)
		c.reportUnanswered(call, answer, err)
		return answer, runs, err
	}
	const requests = 2
	results := make(chan listResult, requests)
	for range requests {
		go func() {
			limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), call.request.Wait+listTimeout)
			defer cancel()
			answer, runs, err := c.client.ListRuns(limited, call.server, call.request)
			c.reportUnanswered(call, answer, err)
			results <- listResult{answer: answer, runs: runs, err: err}
		}()
	}
	var result listResult
	for range requests {
		select {
		case result = <-results:
		case <-ctx.Done():
			return platform.AnswerNone, platform.RunList{}, ctx.Err()
		}
		if result.answer == platform.AnswerOK {
			break
		}
	}
	return result.answer, result.runs, result.err
}

// reportUnanswered tells the supervisor of a request for the list that may have been sent and got no answer.
func (c *backendClient) reportUnanswered(call listCall, answer platform.Answer, err error) {
	if answer == platform.AnswerNone && !platform.IsConnectionRefused(err) {
		c.agent.loop.Post(func(now time.Duration) {
			c.agent.supervisor.CallUnanswered(now, call.request.Token, call.request.Deadline != 0)
		})
	}
}

// listFailed handles a request for the list that has failed. If cutListShort has cancelled it, the next one follows at
// once.
func (c *backendClient) listFailed(ctx context.Context, call listCall, answer platform.Answer, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if answer == platform.AnswerFenced {
		c.agent.loop.Post(func(now time.Duration) { c.agent.supervisor.TokenRejected(now, call.request.Token) })
		return
	}
	if answer == platform.AnswerWrongServer {
		c.forgetServer(call.server)
	}
	_ = level.Info(c.agent.logger).Log("msg", "request for the list of runs failed", "answer", answer, "err", err)
	refused := platform.IsConnectionRefused(err)
	if answer == platform.AnswerNone {
		c.agent.loop.Post(func(now time.Duration) { c.agent.supervisor.ListFailed(now, refused) })
	}
	if platform.IsConnectionClosed(err) && !call.suspect {
		return // the next request shows at once whether the server's process has ended
	}
	delay := listRetryDelay
	if call.hasOpenCalls {
		delay = openCallRetryDelay
	}
	ctxtime.Sleep(ctx, delay)
}

// convertEnd returns the supervisor's end of a run for that of the server. Runs that were stopped, whose lease has
// expired or whose end is unknown become EndLost.
func convertEnd(end platform.RunEnd) supervisor.End {
	switch end {
	case platform.EndDone:
		return supervisor.EndDone
	case platform.EndFailed:
		return supervisor.EndFailed
	case platform.EndStopped, platform.EndLeaseExpired, platform.EndOther:
	}
	return supervisor.EndLost
}
