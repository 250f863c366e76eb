package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/platform"
)

// PlatformServerOptions configures a stand-in of a backend server of the users' platform.
type PlatformServerOptions struct {
	ID      string
	Service string
	Zone    string
	// Agent is the address that receives the heartbeats.
	Agent    string
	Capacity structs.Resources
	// Labels are reported in the heartbeats: the server's kind and its rack.
	Labels []string
	// RunLease is the longest time for which the server grants a lease. It shortens a longer one to this time.
	RunLease time.Duration
	// RunTime is how long each task runs. If RunTimeOf is set, it takes the run time from the payload instead.
	RunTime   time.Duration
	RunTimeOf func(payload string) time.Duration
	// Address is the address to listen on. It is a free port on 127.0.0.1 if it is empty.
	Address string
	// CrashAfter, if set, returns after what time a task crashes the server, by its name and payload, or 0 if it does not. The
	// server is restarted after CrashTime.
	CrashAfter func(task, payload string) time.Duration
	CrashTime  time.Duration
	// StopTime is how long a stopped run goes on after the stop was answered.
	StopTime time.Duration
	// ClockSlowdown is the share by which the server's clock is slow, which also measures leases.
	ClockSlowdown float64
	// Unguarded makes the server start tasks above its capacity.
	Unguarded bool
	// Observe, if set, is called at each start and each end of a run. A restart of the server ends its runs with EndOther.
	// Observe must not call the server, whose lock is held.
	Observe func(task string, started bool, end platform.RunEnd)
	// ObserveLate, if set, is called before Observe for each start by a call that was carried out late. It must not call the server.
	ObserveLate func(task string)
}

// PlatformServerFaults holds the faults of a PlatformServer. The zero value is a server without faults.
type PlatformServerFaults struct {
	// FailAll makes all runs end as failed.
	FailAll bool
	// Unresponsive closes the connection of every request without an answer.
	Unresponsive bool
	// LoseStarts is the number of successful starts that are not answered.
	LoseStarts int
	// LateStarts is the number of starts that are not answered and carried out only LateBy after their arrival. A restart
	// of the server discards them.
	LateStarts int
	LateBy     time.Duration
	// LateEvery makes every n-th call that starts or stops a run or renews the lease wait without an answer. It is carried out LateBy
	// after its arrival, by the incarnation of the server that then runs. 0 means none.
	LateEvery int
	// LeaseFromArrival makes the time of such a renewal count from when it is carried out. Otherwise its deadline is a time on the
	// clock of the incarnation that carries it out.
	LeaseFromArrival bool
	Draining         bool
	// NoHeartbeats makes the server send no heartbeats.
	NoHeartbeats bool
}

// PlatformServer runs tasks under a lease, as a backend server of the users' platform does. It is safe for concurrent use.
type PlatformServer struct {
	options   PlatformServerOptions
	listener  net.Listener
	server    *http.Server
	startTime time.Time
	// nextSkew is by how much the server's time of day is ahead at its next start, skew what it was at the last one.
	nextSkew, skew time.Duration

	// mu guards the fields below.
	mu     sync.Mutex
	faults PlatformServerFaults
	// token is the highest fencing token seen.
	token uint64
	// leaseEnd is the end of the lease of all runs.
	leaseEnd time.Time
	// used are the resources of the active runs, which runs holds.
	used structs.Resources
	runs map[runKey]*platformRun
	// highestRun holds the highest run of each task that was started or stopped. A start must have a higher one.
	highestRun map[string]uint32
	// ends are the ended runs that the agent has not acknowledged.
	ends          []platform.EndedRun
	lastEndNumber uint64
	// sequence is that of the last heartbeat.
	sequence uint64
	starts   int
	overlaps int
	// shrunkAt is when the capacity was last reduced. overfilled counts the starts above the capacity that were no longer
	// excused by shrinkGrace.
	shrunkAt   time.Time
	overfilled int
	crashes    map[string]int
	// down is set from a crash until the restart. up is signalled when the server listens again after a crash.
	down bool
	up   chan struct{}
	// lateCalls counts the calls that LateEvery chooses from. heldCalls are late calls that became due while the server was down.
	lateCalls int
	heldCalls []func()
	// runEnded is closed and replaced whenever a run ends.
	runEnded chan struct{}
}

// runKey names a run of a task.
type runKey struct {
	task string
	run  uint32
}

// platformRun is an active run of a PlatformServer.
type platformRun struct {
	runKey

	need      structs.Resources
	startTime time.Time
	duration  time.Duration
	timer     *time.Timer
}

// NewPlatformServer returns a server that listens on a loopback port. It serves no requests before Run.
func NewPlatformServer(options PlatformServerOptions) (*PlatformServer, error) {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, err
	}
	s := &PlatformServer{
		options: options, listener: listener, startTime: time.Now(), runs: map[runKey]*platformRun{},
		highestRun: map[string]uint32{}, runEnded: make(chan struct{}), crashes: map[string]int{}, up: make(chan struct{}, 1),
	}
	s.server = &http.Server{Handler: s.handler()}
	return s, nil
}

func (s *PlatformServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathRunStart, s.handleStart)
	mux.HandleFunc("POST "+platform.PathRunStop, s.handleStop)
	mux.HandleFunc("POST "+platform.PathListRuns, s.handleListRuns)
	return mux
}

// Address returns the address for requests.
func (s *PlatformServer) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// shrinkGrace is how long after a reduction of the capacity starts above it are excused: the platform's contact time of 3 s and
// one heartbeat.
const shrinkGrace = 3500 * time.Millisecond

// SetCapacity changes the capacity, which the next heartbeat reports.
func (s *PlatformServer) SetCapacity(capacity structs.Resources) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !capacity.Covers(s.options.Capacity) {
		s.shrunkAt = time.Now()
	}
	s.options.Capacity = capacity
}

// Overfilled returns the number of starts that brought the server above its capacity, other than just after a reduction.
func (s *PlatformServer) Overfilled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overfilled
}

// Crashes returns how often each task has crashed the server.
func (s *PlatformServer) Crashes() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.crashes)
}

// crashTeardown is how long the runs of a crashing server go on after it has closed its listener, as in a process whose end takes
// some time. Agents must not take the first refused connection for the end of the runs.
const crashTeardown = 30 * time.Millisecond

// crash ends the server's process under a run, unless the run has ended. Its address refuses connections until the server is
// restarted after CrashTime.
func (s *PlatformServer) crash(run *platformRun) {
	s.mu.Lock()
	if s.runs[run.runKey] != run {
		s.mu.Unlock()
		return
	}
	s.crashes[run.task]++
	s.mu.Unlock()
	s.Crash()
}

// Crash ends the server's process. It is restarted after CrashTime. Crash does nothing if the server is down.
func (s *PlatformServer) Crash() {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	address := s.listener.Addr().String()
	server := s.server
	s.down = true
	s.mu.Unlock()
	_ = server.Close() // its listener and connections
	time.Sleep(crashTeardown)
	s.Restart()
	time.AfterFunc(s.options.CrashTime, func() { s.listenAgain(address) })
}

// listenAgain listens on the address of a server that has crashed. The address belongs to this server alone, so a failure can
// only mean that the earlier connections are not closed yet.
func (s *PlatformServer) listenAgain(address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		time.AfterFunc(s.options.CrashTime, func() { s.listenAgain(address) })
		return
	}
	s.Restart()
	s.mu.Lock()
	s.listener, s.server, s.down = listener, &http.Server{Handler: s.handler()}, false
	held := s.heldCalls
	s.heldCalls = nil
	for _, carryOut := range held {
		carryOut()
	}
	s.mu.Unlock()
	s.up <- struct{}{}
}

// SetFaults replaces the faults.
func (s *PlatformServer) SetFaults(f PlatformServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetToken sets the highest fencing token that the server has seen, as if an earlier agent had sent it.
func (s *PlatformServer) SetToken(token uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.token = token
}

// SetRunTime changes the run time of tasks that start from now on.
func (s *PlatformServer) SetRunTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.RunTime = d
}

// Restart ends all runs and begins a new incarnation with the same ID, which keeps no state of the previous one.
func (s *PlatformServer) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, run := range s.runs {
		s.end(run, platform.EndOther)
	}
	s.skew = s.nextSkew
	s.startTime, s.leaseEnd, s.token, s.lastEndNumber, s.sequence = time.Now(), time.Time{}, 0, 0, 0
	s.highestRun, s.ends = map[string]uint32{}, nil
}

// SetClockSkew sets by how much the server's time of day is ahead when it is restarted from now on. Its start time then tells.
func (s *PlatformServer) SetClockSkew(skew time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextSkew = skew
}

// reportedStartTime returns the start time that the server tells, in Unix milliseconds.
func (s *PlatformServer) reportedStartTime() int64 { return s.startTime.Add(s.skew).UnixMilli() }

// Starts returns the number of runs that were started.
func (s *PlatformServer) Starts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts
}

// Running returns the number of active runs.
func (s *PlatformServer) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// Run serves requests and sends heartbeats until the context ends.
func (s *PlatformServer) Run(ctx context.Context, heartbeat time.Duration) {
	go s.heartbeatLoop(ctx, heartbeat)
	for {
		s.mu.Lock()
		server, listener := s.server, s.listener
		s.mu.Unlock()
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		_ = server.Serve(listener) // returns when the context ends or the server crashes
		stop()
		select {
		case <-ctx.Done():
			return
		case <-s.up:
		}
	}
}

func (s *PlatformServer) heartbeatLoop(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		s.sendHeartbeat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *PlatformServer) sendHeartbeat(ctx context.Context) {
	s.mu.Lock()
	if s.faults.NoHeartbeats || s.down {
		s.mu.Unlock()
		return
	}
	s.sequence++
	heartbeat := platform.Heartbeat{
		ID: s.options.ID, Service: s.options.Service, Zone: s.options.Zone, Address: s.listener.Addr().String(),
		StartTime: s.reportedStartTime(), Sequence: s.sequence, Draining: s.faults.Draining, Capacity: s.options.Capacity,
		Labels: s.options.Labels,
	}
	s.mu.Unlock()
	url := "http://" + s.options.Agent + platform.PathHeartbeat + heartbeat.ID
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(platform.EncodeHeartbeat(heartbeat)))
	if err != nil {
		return
	}
	if response, err := http.DefaultClient.Do(r); err == nil { // an unreachable agent gets the next heartbeat
		_ = response.Body.Close()
	}
}

// clock returns the server's clock: the time since its start in milliseconds, plus 1 because 0 stands for an unknown clock.
func (s *PlatformServer) clock() int64 {
	return int64(float64(time.Since(s.startTime).Milliseconds())*(1-s.options.ClockSlowdown)) + 1
}

// realTime returns how long a time on the server's clock takes.
func (s *PlatformServer) realTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - s.options.ClockSlowdown))
}

// refuse answers with status 409 and the code of a reason.
func (s *PlatformServer) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(map[string]any{"clockMs": s.clock(), "reason": reason})
}

// answer answers with status 200 and a body, to which it adds the clock.
func (s *PlatformServer) answer(w http.ResponseWriter, body map[string]any) {
	body["clockMs"] = s.clock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// decodeAndLock decodes a request. It returns true with s.mu held, or false after it has answered a malformed request. With
// the fault Unresponsive, it aborts the handler, which closes the connection.
func (s *PlatformServer) decodeAndLock(w http.ResponseWriter, r *http.Request, request any) bool {
	if json.NewDecoder(r.Body).Decode(request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	s.mu.Lock()
	if s.faults.Unresponsive || s.down {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	return true
}

// acceptToken records the fencing token of a request and returns true. If the server has seen a higher one, it refuses the
// request and returns false. The caller holds s.mu.
func (s *PlatformServer) acceptToken(w http.ResponseWriter, token uint64) bool {
	if token < s.token {
		s.refuse(w, "fence")
		return false
	}
	s.token = token
	return true
}

func (s *PlatformServer) handleStart(w http.ResponseWriter, r *http.Request) {
	var request platform.StartRequest
	if !s.decodeAndLock(w, r, &request) {
		return
	}
	defer s.mu.Unlock()
	s.postpone(r.Context(), func() { _ = s.start(request, true) })
	if s.faults.LateStarts > 0 {
		s.faults.LateStarts--
		s.startLater(request, s.faults.LateBy)
		panic(http.ErrAbortHandler)
	}
	reason := s.start(request, false)
	if reason == "" && s.faults.LoseStarts > 0 {
		s.faults.LoseStarts--
		panic(http.ErrAbortHandler)
	}
	if reason != "" {
		s.refuse(w, reason)
		return
	}
	s.answer(w, map[string]any{})
}

// startLater carries out a start after a delay, unless the server restarts in the meantime.
func (s *PlatformServer) startLater(request platform.StartRequest, delay time.Duration) {
	startTime := s.startTime
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.startTime.Equal(startTime) {
			_ = s.start(request, true) // the connection was closed, so a refusal cannot be sent
		}
	})
}

// postpone returns if a call that has just arrived is not late. Otherwise carryOut is called later, with s.mu held, and the call's
// handler is aborted once the caller has given up. The caller holds s.mu.
func (s *PlatformServer) postpone(ctx context.Context, carryOut func()) {
	if s.faults.LateEvery == 0 {
		return
	}
	if s.lateCalls++; s.lateCalls%s.faults.LateEvery != 0 {
		return
	}
	late := time.NewTimer(s.faults.LateBy)
	time.AfterFunc(s.faults.LateBy, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down {
			s.heldCalls = append(s.heldCalls, carryOut)
			return
		}
		carryOut()
	})
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-ctx.Done():
	case <-late.C:
	}
	panic(http.ErrAbortHandler)
}

// start starts a run and returns an empty string, or returns the code of the reason why it refuses. late is set if the call is
// carried out late. The caller holds s.mu.
func (s *PlatformServer) start(request platform.StartRequest, late bool) string {
	need := structs.Resources{CPU: 1000} // a request does not say what its task needs; the tests use this amount
	key := runKey{request.Task, request.Run}
	switch {
	case request.Token < s.token:
		return "fence"
	case s.runs[key] != nil:
		return ""
	case request.Run <= s.highestRun[request.Task]:
		s.renew(request.Deadline)
		return "old"
	case request.Deadline < s.clock():
		return "late"
	case !s.options.Unguarded && !s.options.Capacity.Sub(s.used).Covers(need):
		s.renew(request.Deadline)
		return "room"
	}
	if !s.options.Capacity.Sub(s.used).Covers(need) && time.Since(s.shrunkAt) > shrinkGrace {
		s.overfilled++
	}
	for other := range s.runs {
		if other.task == request.Task {
			s.overlaps++
		}
	}
	s.token = request.Token
	s.renew(request.Deadline)
	s.highestRun[request.Task] = request.Run
	s.used = s.used.Add(need)
	s.starts++
	run := &platformRun{runKey: key, need: need, startTime: time.Now(), duration: s.options.RunTime}
	if s.options.RunTimeOf != nil {
		run.duration = s.options.RunTimeOf(request.Payload)
	}
	run.timer = time.AfterFunc(run.duration, func() { s.finish(run) })
	s.runs[key] = run
	if s.options.CrashAfter != nil {
		if after := s.options.CrashAfter(request.Task, request.Payload); after > 0 {
			time.AfterFunc(after, func() { s.crash(run) })
		}
	}
	if late && s.options.ObserveLate != nil {
		s.options.ObserveLate(request.Task)
	}
	if s.options.Observe != nil {
		s.options.Observe(request.Task, true, 0)
	}
	return ""
}

// renew extends the lease of all runs to a deadline on the server's clock, but at most to RunLease from now. The caller holds
// s.mu.
func (s *PlatformServer) renew(deadline int64) {
	end := s.startTime.Add(s.realTime(time.Duration(deadline) * time.Millisecond))
	if limit := time.Now().Add(s.realTime(s.options.RunLease)); end.After(limit) {
		end = limit
	}
	if end.After(s.leaseEnd) {
		s.leaseEnd = end
		time.AfterFunc(time.Until(end), s.expireLease)
	}
}

// expireLease ends all runs if the lease has expired. It does nothing if the lease has been renewed.
func (s *PlatformServer) expireLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.leaseEnd) {
		return
	}
	for _, run := range s.runs {
		s.end(run, platform.EndLeaseExpired)
	}
}

// finish ends a run after its run time, unless it has already ended.
func (s *PlatformServer) finish(run *platformRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[run.runKey] != run {
		return
	}
	end := platform.EndDone
	if s.faults.FailAll {
		end = platform.EndFailed
	}
	s.end(run, end)
}

// end ends a run and wakes the requests that wait for an end. The caller holds s.mu.
func (s *PlatformServer) end(run *platformRun, end platform.RunEnd) {
	run.timer.Stop()
	delete(s.runs, run.runKey)
	s.used = s.used.Sub(run.need)
	s.lastEndNumber++
	if s.options.Observe != nil {
		s.options.Observe(run.task, false, end)
	}
	s.ends = append(s.ends, platform.EndedRun{Number: s.lastEndNumber, Task: run.task, Run: run.run, End: end})
	close(s.runEnded)
	s.runEnded = make(chan struct{})
}

func (s *PlatformServer) handleStop(w http.ResponseWriter, r *http.Request) {
	var request platform.StopRequest
	if !s.decodeAndLock(w, r, &request) {
		return
	}
	defer s.mu.Unlock()
	s.postpone(r.Context(), func() {
		if request.Token >= s.token {
			s.token = request.Token
			s.stop(request)
		}
	})
	if !s.acceptToken(w, request.Token) {
		return
	}
	s.stop(request)
	s.answer(w, map[string]any{})
}

// stop stops a run and refuses its start from now on. The caller holds s.mu.
func (s *PlatformServer) stop(request platform.StopRequest) {
	s.highestRun[request.Task] = max(s.highestRun[request.Task], request.Run)
	run := s.runs[runKey{request.Task, request.Run}]
	if run == nil {
		return
	}
	if s.options.StopTime == 0 {
		s.end(run, platform.EndStopped)
		return
	}
	time.AfterFunc(s.options.StopTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.runs[run.runKey] == run {
			s.end(run, platform.EndStopped)
		}
	})
}

func (s *PlatformServer) handleListRuns(w http.ResponseWriter, r *http.Request) {
	var request platform.ListRunsBody
	if !s.decodeAndLock(w, r, &request) {
		return
	}
	defer s.mu.Unlock()
	if request.Deadline > 0 {
		rest, fromArrival := request.Deadline-s.clock(), s.faults.LeaseFromArrival
		s.postpone(r.Context(), func() {
			if request.Token < s.token {
				return
			}
			s.token = request.Token
			if fromArrival {
				request.Deadline = s.clock() + rest
			}
			s.hold(request)
		})
	}
	if !s.acceptToken(w, request.Token) {
		return
	}
	s.hold(request)
	startTime := s.startTime
	s.awaitEnd(r.Context(), time.Duration(request.WaitMs)*time.Millisecond)
	if !s.startTime.Equal(startTime) {
		panic(http.ErrAbortHandler) // the restart of a server's process closes its connections
	}
	running := [][]any{}
	for _, run := range s.runs {
		percent := min(int(100*time.Since(run.startTime)/run.duration), 99)
		running = append(running, []any{run.task, run.run, "", percent, 1000})
	}
	ended := [][]any{}
	for _, e := range s.ends {
		ended = append(ended, []any{e.Number, e.Task, e.Run, e.End.Code(), ""})
	}
	s.answer(w, map[string]any{"born": s.reportedStartTime(), "running": running, "ended": ended})
}

// hold renews the lease and drops the ends that the agent has seen, as a request for the list says. The caller holds s.mu.
func (s *PlatformServer) hold(request platform.ListRunsBody) {
	if request.Deadline > 0 {
		s.renew(request.Deadline)
	}
	for len(s.ends) > 0 && s.ends[0].Number <= request.SeenUpTo {
		s.ends = s.ends[1:]
	}
}

// awaitEnd waits until a run ends. It returns at once if there are ended runs that the agent has not acknowledged. It
// releases s.mu while it waits.
func (s *PlatformServer) awaitEnd(ctx context.Context, wait time.Duration) {
	if len(s.ends) > 0 || wait <= 0 {
		return
	}
	runEnded := s.runEnded
	s.mu.Unlock()
	defer s.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-runEnded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Overlaps returns the number of starts of a task while another run of it was active.
func (s *PlatformServer) Overlaps() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overlaps
}
