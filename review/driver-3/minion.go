package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bounds of the small sites that a minion goes by.
const (
	holdMax     = time.Second
	stopTime    = 40 * time.Millisecond // stopMs is 50
	beatEvery   = 1500 * time.Millisecond
	beatTimeout = time.Second
)

type runKey struct {
	task string
	run  uint32
}

type minionRun struct {
	key      runKey
	started  time.Time
	duration time.Duration
	timer    *time.Timer
	stopping bool
	cpu      int64
}

// minion is a stand-in of a backend server, as PROTOCOL.md describes it. It does what it is told, unless the token, the run number, the
// deadline or (if it guards its capacity) the room forbid it.
type minion struct {
	w       *world
	id      string
	zone    string
	address string
	control string
	labels  []string
	guards  bool

	mu         sync.Mutex
	listener   net.Listener
	server     *http.Server
	down       bool
	silent     bool // requests are not read in time: no answer
	draining   bool
	cpu        int64
	shrunkAt   time.Time
	born       time.Time
	sequence   uint64
	token      uint64
	leaseEnd   time.Time
	runs       map[runKey]*minionRun
	highest    map[string]uint32
	ends       [][]any
	lastEnd    uint64
	endSignal  chan struct{}
	beatPhase  time.Duration
	beatPaused bool
}

func newMinion(w *world, id, zone, ip string, labels []string, cpu int64, guards bool, phase time.Duration) (*minion, error) {
	m := &minion{
		w: w, id: id, zone: zone, address: ip + ":9000", control: ip + ":8166", labels: labels, cpu: cpu, guards: guards,
		beatPhase: phase, endSignal: make(chan struct{}),
	}
	if err := m.boot(); err != nil {
		return nil, err
	}
	go m.beats()
	return m, nil
}

// boot starts an incarnation of the minion, which knows nothing of before.
func (m *minion) boot() error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", m.handleStart)
	mux.HandleFunc("POST /v1/run-stop", m.handleStop)
	mux.HandleFunc("POST /v1/hold", m.handleHold)
	m.mu.Lock()
	m.listener, m.server, m.down = listener, &http.Server{Handler: mux}, false
	m.born, m.sequence, m.token, m.leaseEnd = time.Now(), 0, 0, time.Time{}
	m.runs, m.highest, m.ends, m.lastEnd = map[runKey]*minionRun{}, map[string]uint32{}, nil, 0
	server := m.server
	m.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends the process of the minion, with its runs.
func (m *minion) crash() {
	m.mu.Lock()
	m.down = true
	server := m.server
	for _, r := range m.runs {
		r.timer.Stop()
		m.w.runEnded(m, r.key, "crashed")
	}
	m.runs = map[runKey]*minionRun{}
	m.mu.Unlock()
	_ = server.Close()
}

func (m *minion) setCPU(cpu int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cpu < m.cpu {
		m.shrunkAt = time.Now()
	}
	m.cpu = cpu
}

func (m *minion) beats() {
	time.Sleep(m.beatPhase)
	client := &http.Client{Timeout: beatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for !m.w.closing() {
		next := time.Now().Add(beatEvery)
		m.mu.Lock()
		down := m.down
		m.sequence++
		state := "ready"
		if m.draining {
			state = "draining"
		}
		body := map[string]any{
			"service": serviceName, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
			"capacity": map[string]any{"cpu": m.cpu, "memMb": 32768, "gpu": 0}, "labels": m.labels, "clockMs": m.clock(),
			"sequence": m.sequence, "born": m.born.UnixMilli(),
		}
		m.mu.Unlock()
		if !down {
			raw, _ := json.Marshal(body)
			response, err := client.Post("http://"+m.control+"/v1/Instances.Heartbeat/"+m.id, "application/json", bytes.NewReader(raw))
			if err == nil {
				_ = response.Body.Close()
			}
		}
		time.Sleep(time.Until(next))
	}
}

// clock is the steady clock of the minion in milliseconds. The caller holds m.mu.
func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() + 1 }

func (m *minion) answer(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// begin checks the incarnation and decodes a call. It returns false after it has answered.
func (m *minion) begin(w http.ResponseWriter, r *http.Request, body any) bool {
	if id := r.Header.Get("Expect-Instance"); id != "" && id != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if json.NewDecoder(r.Body).Decode(body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

type callBody struct {
	Task         string `json:"task"`
	Run          uint32 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	SeenUpto     uint64 `json:"seenUpto"`
	WaitMs       int64  `json:"waitMs"`
}

// renew prolongs the lease of all runs. The caller holds m.mu.
func (m *minion) renew(deadline int64) {
	end := m.born.Add(time.Duration(deadline) * time.Millisecond)
	if limit := time.Now().Add(holdMax); end.After(limit) {
		end = limit
	}
	if !end.After(m.leaseEnd) {
		return
	}
	m.leaseEnd = end
	time.AfterFunc(time.Until(end)+time.Millisecond, m.lapse)
}

func (m *minion) lapse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Now().Before(m.leaseEnd) {
		return
	}
	for _, r := range m.runs {
		m.end(r, "lapsed")
	}
}

// end ends a run. The caller holds m.mu.
func (m *minion) end(r *minionRun, how string) {
	if m.runs[r.key] != r {
		return
	}
	r.timer.Stop()
	delete(m.runs, r.key)
	m.lastEnd++
	m.ends = append(m.ends, []any{m.lastEnd, r.key.task, r.key.run, how, ""})
	m.w.runEnded(m, r.key, how)
	close(m.endSignal)
	m.endSignal = make(chan struct{})
}

func (m *minion) used() int64 {
	var used int64
	for _, r := range m.runs {
		used += r.cpu
	}
	return used
}

func (m *minion) handleStart(w http.ResponseWriter, r *http.Request) {
	var c callBody
	if !m.begin(w, r, &c) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	key := runKey{c.Task, c.Run}
	refuse := func(reason string) {
		m.answer(w, http.StatusConflict, map[string]any{"clockMs": m.clock(), "reason": reason, "born": m.born.UnixMilli()})
	}
	shape := m.w.shapeOf(c.Task)
	switch {
	case c.FencingToken < m.token:
		refuse("fence")
		return
	case m.runs[key] != nil:
	case c.Run <= m.highest[c.Task]:
		m.token = c.FencingToken
		m.renew(c.DeadlineMs)
		refuse("old")
		return
	case c.DeadlineMs < m.clock():
		m.token = c.FencingToken
		refuse("late")
		return
	case m.guards && m.used()+shape.cpu > m.cpu:
		m.token = c.FencingToken
		m.renew(c.DeadlineMs)
		refuse("room")
		return
	default:
		m.token, m.highest[c.Task] = c.FencingToken, c.Run
		m.renew(c.DeadlineMs)
		run := &minionRun{key: key, started: time.Now(), duration: shape.work, cpu: shape.cpu}
		run.timer = time.AfterFunc(shape.work, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.end(run, "done")
		})
		m.runs[key] = run
		m.w.runStarted(m, key, c.Spec, m.used(), m.cpu, m.shrunkAt)
	}
	m.token = c.FencingToken
	m.renew(c.DeadlineMs)
	m.answer(w, http.StatusOK, map[string]any{"clockMs": m.clock(), "born": m.born.UnixMilli()})
}

func (m *minion) handleStop(w http.ResponseWriter, r *http.Request) {
	var c callBody
	if !m.begin(w, r, &c) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.FencingToken < m.token {
		m.answer(w, http.StatusConflict, map[string]any{"clockMs": m.clock(), "reason": "fence", "born": m.born.UnixMilli()})
		return
	}
	m.token = c.FencingToken
	m.highest[c.Task] = max(m.highest[c.Task], c.Run)
	if run := m.runs[runKey{c.Task, c.Run}]; run != nil && !run.stopping {
		run.stopping = true
		time.AfterFunc(stopTime, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.end(run, "stopped")
		})
	}
	m.answer(w, http.StatusOK, map[string]any{"clockMs": m.clock(), "born": m.born.UnixMilli()})
}

func (m *minion) handleHold(w http.ResponseWriter, r *http.Request) {
	var c callBody
	if !m.begin(w, r, &c) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.FencingToken < m.token {
		m.answer(w, http.StatusConflict, map[string]any{"clockMs": m.clock(), "reason": "fence", "born": m.born.UnixMilli()})
		return
	}
	m.token = c.FencingToken
	if c.DeadlineMs > 0 {
		m.renew(c.DeadlineMs)
	}
	for len(m.ends) > 0 && m.ends[0][0].(uint64) <= c.SeenUpto {
		m.ends = m.ends[1:]
	}
	if len(m.ends) == 0 && c.WaitMs > 0 {
		signal, born := m.endSignal, m.born
		m.mu.Unlock()
		timer := time.NewTimer(time.Duration(c.WaitMs) * time.Millisecond)
		select {
		case <-signal:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		m.mu.Lock()
		if !m.born.Equal(born) {
			panic(http.ErrAbortHandler) // the process that took the call has ended
		}
	}
	running := [][]any{}
	for _, run := range m.runs {
		percent := min(int(100*time.Since(run.started)/run.duration), 99)
		running = append(running, []any{run.key.task, run.key.run, "", percent, run.cpu})
	}
	ended := m.ends
	if len(ended) > 500 {
		ended = ended[:500]
	}
	if ended == nil {
		ended = [][]any{}
	}
	m.answer(w, http.StatusOK, map[string]any{"clockMs": m.clock(), "born": m.born.UnixMilli(), "running": running, "ended": ended})
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
