package standin

import (
	"bytes"
	"context"
	"encoding/json"
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
	// Agent is the address that takes the heartbeats.
	Agent    string
	Capacity structs.Resources
	// RunLease bounds a lease.
	RunLease time.Duration
	// RunTime is how long each task runs, unless RunTimeOf is set and tells it from the payload.
	RunTime   time.Duration
	RunTimeOf func(payload string) time.Duration
	// Observe, if set, is told of each start of a run and of each end, EndOther if the server restarts. It must not call the
	// server.
	Observe func(task string, started bool, end platform.RunEnd)
}

// PlatformServerFaults are the faults of a PlatformServer. The zero value is a sound server.
type PlatformServerFaults struct {
	// FailAll ends all runs as failed.
	FailAll bool
	// Unresponsive answers no call.
	Unresponsive bool
	// LoseStarts carries starts out and does not answer them.
	LoseStarts int
	// LateStarts carries as many starts out LateBy after their arrival, unless the server has been restarted since, and
	// does not answer them.
	LateStarts int
	LateBy     time.Duration
	Draining   bool
	// NoHeartbeats sends none.
	NoHeartbeats bool
}

// PlatformServer runs tasks under a lease, as a backend server of the users' platform does. It is safe for concurrent use.
type PlatformServer struct {
	options  PlatformServerOptions
	listener net.Listener
	server   *http.Server
	began    time.Time

	// mu guards the fields below.
	mu       sync.Mutex
	faults   PlatformServerFaults
	token    uint64
	lease    time.Time
	used     structs.Resources
	runs     map[string]*roomRun
	highest  map[string]uint32
	ends     []platform.EndedRun
	number   uint64
	sequence uint64
	starts   int
	overlaps int
	changed  chan struct{}
}

type roomRun struct {
	run   uint32
	need  structs.Resources
	began time.Time
	takes time.Duration
	timer *time.Timer
}

// NewPlatformServer returns a server that listens on a loopback port and has not started.
func NewPlatformServer(options PlatformServerOptions) (*PlatformServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &PlatformServer{
		options: options, listener: listener, began: time.Now(), runs: map[string]*roomRun{},
		highest: map[string]uint32{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.PathRunStart, s.handleStart)
	mux.HandleFunc("POST "+platform.PathRunStop, s.handleStop)
	mux.HandleFunc("POST "+platform.PathListRuns, s.handleHold)
	s.server = &http.Server{Handler: mux}
	return s, nil
}

// Address returns the address that takes calls.
func (s *PlatformServer) Address() string { return s.listener.Addr().String() }

// SetFaults replaces the faults.
func (s *PlatformServer) SetFaults(f PlatformServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetToken lets the server know a fencing token, as from an earlier agent.
func (s *PlatformServer) SetToken(token uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.token = token
}

// SetRunTime changes how long the next tasks run.
func (s *PlatformServer) SetRunTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.RunTime = d
}

// Restart ends all runs and begins a new life under the same ID, which knows nothing of the one before.
func (s *PlatformServer) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for task, run := range s.runs {
		s.end(task, run, platform.EndOther)
	}
	s.began, s.lease, s.token, s.number, s.sequence = time.Now(), time.Time{}, 0, 0, 0
	s.highest, s.ends = map[string]uint32{}, nil
}

// Starts returns the number of runs that were started.
func (s *PlatformServer) Starts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts
}

// Running returns the number of runs.
func (s *PlatformServer) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// Run serves and sends heartbeats until the context ends.
func (s *PlatformServer) Run(ctx context.Context, heartbeat time.Duration) {
	unhook := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer unhook()
	go s.beat(ctx, heartbeat)
	_ = s.server.Serve(s.listener) // it ends with the context
}

func (s *PlatformServer) beat(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		s.sendBeat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *PlatformServer) sendBeat(ctx context.Context) {
	s.mu.Lock()
	if s.faults.NoHeartbeats {
		s.mu.Unlock()
		return
	}
	s.sequence++
	beat := platform.Heartbeat{
		ID: s.options.ID, Service: s.options.Service, Zone: s.options.Zone, Address: s.Address(),
		StartTime: s.began.UnixMilli(), Sequence: s.sequence, Draining: s.faults.Draining, Capacity: s.options.Capacity,
	}
	s.mu.Unlock()
	url := "http://" + s.options.Agent + platform.PathHeartbeat + beat.ID
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(platform.EncodeHeartbeat(beat)))
	if err != nil {
		return
	}
	if response, err := http.DefaultClient.Do(r); err == nil { // an agent that is away gets the next one
		_ = response.Body.Close()
	}
}

func (s *PlatformServer) clock() int64 { return time.Since(s.began).Milliseconds() + 1 }

// refuse answers with a reason.
func (s *PlatformServer) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(map[string]any{"clockMs": s.clock(), "reason": reason})
}

func (s *PlatformServer) answer(w http.ResponseWriter, body map[string]any) {
	body["clockMs"] = s.clock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// take decodes a call. It returns true with s.mu held, or false after an answer. A silent server gives none.
func (s *PlatformServer) take(w http.ResponseWriter, r *http.Request, order any) bool {
	if json.NewDecoder(r.Body).Decode(order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	s.mu.Lock()
	if s.faults.Unresponsive {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	return true
}

// accept notes a fencing token, or refuses one that is too low and returns false. The caller holds s.mu.
func (s *PlatformServer) accept(w http.ResponseWriter, token uint64) bool {
	if token < s.token {
		s.refuse(w, "fence")
		return false
	}
	s.token = token
	return true
}

func (s *PlatformServer) handleStart(w http.ResponseWriter, r *http.Request) {
	var order platform.StartRequest
	if !s.take(w, r, &order) {
		return
	}
	defer s.mu.Unlock()
	if s.faults.LateStarts > 0 {
		s.faults.LateStarts--
		s.startLater(order, s.faults.LateBy)
		panic(http.ErrAbortHandler)
	}
	reason := s.start(order)
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

func (s *PlatformServer) startLater(order platform.StartRequest, by time.Duration) {
	began := s.began
	time.AfterFunc(by, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.began.Equal(began) {
			_ = s.start(order) // nobody waits for the answer
		}
	})
}

// start carries out a start and returns the reason of a refusal. The caller holds s.mu.
func (s *PlatformServer) start(order platform.StartRequest) string {
	need := structs.Resources{CPU: 1000} // the room of a task is not in the order; the tests use this one
	running := s.runs[order.Task]
	switch {
	case order.Token < s.token:
		return "fence"
	case running != nil && running.run == order.Run:
		return ""
	case order.Run <= s.highest[order.Task]:
		return "old"
	case order.Deadline < s.clock():
		return "late"
	case !s.options.Capacity.Sub(s.used).Covers(need):
		return "room"
	}
	if running != nil {
		s.overlaps++
	}
	s.token = order.Token
	s.renew(order.Deadline)
	s.highest[order.Task] = order.Run
	s.used = s.used.Add(need)
	s.starts++
	run := &roomRun{run: order.Run, need: need, began: time.Now(), takes: s.options.RunTime}
	if s.options.RunTimeOf != nil {
		run.takes = s.options.RunTimeOf(order.Payload)
	}
	run.timer = time.AfterFunc(run.takes, func() { s.finish(order.Task, run) })
	s.runs[order.Task] = run
	if s.options.Observe != nil {
		s.options.Observe(order.Task, true, 0)
	}
	return ""
}

// renew lengthens the lease to a deadline on the server's clock, at most RunLease from now.
func (s *PlatformServer) renew(deadline int64) {
	end := s.began.Add(time.Duration(deadline) * time.Millisecond)
	if limit := time.Now().Add(s.options.RunLease); end.After(limit) {
		end = limit
	}
	if end.After(s.lease) {
		s.lease = end
		time.AfterFunc(time.Until(end), s.lapse)
	}
}

func (s *PlatformServer) lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.lease) {
		return
	}
	for task, run := range s.runs {
		s.end(task, run, platform.EndLeaseExpired)
	}
}

func (s *PlatformServer) finish(task string, run *roomRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[task] != run {
		return
	}
	how := platform.EndDone
	if s.faults.FailAll {
		how = platform.EndFailed
	}
	s.end(task, run, how)
}

// end ends a run. The caller holds s.mu.
func (s *PlatformServer) end(task string, run *roomRun, how platform.RunEnd) {
	run.timer.Stop()
	delete(s.runs, task)
	s.used = s.used.Sub(run.need)
	s.number++
	if s.options.Observe != nil {
		s.options.Observe(task, false, how)
	}
	s.ends = append(s.ends, platform.EndedRun{Number: s.number, Task: task, Run: run.run, End: how})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *PlatformServer) handleStop(w http.ResponseWriter, r *http.Request) {
	var order platform.StopRequest
	if !s.take(w, r, &order) {
		return
	}
	defer s.mu.Unlock()
	if !s.accept(w, order.Token) {
		return
	}
	s.highest[order.Task] = max(s.highest[order.Task], order.Run)
	if run := s.runs[order.Task]; run != nil && run.run == order.Run {
		s.end(order.Task, run, platform.EndStopped)
	}
	s.answer(w, map[string]any{})
}

func (s *PlatformServer) handleHold(w http.ResponseWriter, r *http.Request) {
	var order platform.ListRunsBody
	if !s.take(w, r, &order) {
		return
	}
	defer s.mu.Unlock()
	if !s.accept(w, order.Token) {
		return
	}
	if order.Deadline > 0 {
		s.renew(order.Deadline)
	}
	for len(s.ends) > 0 && s.ends[0].Number <= order.SeenUpTo {
		s.ends = s.ends[1:]
	}
	began := s.began
	s.await(r.Context(), time.Duration(order.WaitMs)*time.Millisecond)
	if !s.began.Equal(began) {
		panic(http.ErrAbortHandler) // a connection does not outlive the server's process
	}
	running := [][]any{}
	for task, run := range s.runs {
		percent := min(int(100*time.Since(run.began)/run.takes), 99)
		running = append(running, []any{task, run.run, "", percent, 1000})
	}
	ended := [][]any{}
	for _, e := range s.ends {
		ended = append(ended, []any{e.Number, e.Task, e.Run, e.End.Code(), ""})
	}
	s.answer(w, map[string]any{"born": s.began.UnixMilli(), "running": running, "ended": ended})
}

// await waits for an end. It releases s.mu while it waits.
func (s *PlatformServer) await(ctx context.Context, wait time.Duration) {
	if len(s.ends) > 0 || wait <= 0 {
		return
	}
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Overlaps returns the number of starts of a task while another run of it was there.
func (s *PlatformServer) Overlaps() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overlaps
}
