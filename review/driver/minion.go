package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// taskSpec is what the stand-in minions read from the spec of a job: it says how long its tasks run and what they take. A real
// minion knows that from the program that it runs.
type taskSpec struct {
	Ms  int   `json:"ms"`
	CPU int64 `json:"cpu"`
	// Fail makes every run of the tasks end as failed.
	Fail bool `json:"fail,omitempty"`
}

// minionFaults is what a minion suffers from. The zero value is a sound minion.
type minionFaults struct {
	// hang: no call is answered or carried out.
	hang bool
	// late: this share of the orders gets no answer and is carried out 2 to 12 s later.
	late float64
	// skew is how far the time of day of the minion's machine is ahead. It shows in born alone.
	skew time.Duration
	// muteBeats suppresses heartbeats.
	muteBeats bool
}

type minionRun struct {
	task  string
	run   uint32
	need  int64
	began time.Time
	dur   time.Duration
	timer *time.Timer
	end   string // set while it is being stopped
}

// minion is a stand-in of a minion, as PROTOCOL.md describes it.
type minion struct {
	world   *world
	name    string // of the machine
	ip      string
	service string
	zone    string
	rack    string
	control string
	address string

	mu       sync.Mutex
	id       string
	kind     string
	capacity int64
	// rate is that of the minion's steady clock, which may be 2% slow.
	rate     float64
	born     int64
	booted   time.Time
	life     int
	up       bool
	draining bool
	gone     bool
	sequence int
	token    uint64
	leaseEnd time.Time
	runs     map[string]*minionRun
	highest  map[string]uint32
	ends     [][]any
	lastEnd  int
	changed  chan struct{}
	server   *http.Server
	faults   minionFaults
	// drainAcked is when the draining of this life was first acknowledged.
	drainAcked time.Time
	// firstBeat delays the first heartbeat of a life.
	firstBeat time.Duration
	stopBeats context.CancelFunc
	// beats records what each life has said and when it was acknowledged.
}

const holdMax = time.Second

func (m *minion) log(format string, args ...any) {
	m.world.log("%s (%s life %d born %d): %s", m.name, m.id, m.life, m.born, fmt.Sprintf(format, args...))
}

// start begins a new life at the minion's address.
func (m *minion) start() error {
	l, err := net.Listen("tcp", m.address)
	for range 50 {
		if err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp", m.address)
	}
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.life++
	m.up, m.draining, m.gone, m.sequence, m.token = true, false, false, 0, 0
	m.born = time.Now().Add(m.faults.skew).UnixMilli()
	m.booted, m.leaseEnd = time.Now().Add(-time.Second), time.Time{}
	m.runs, m.highest, m.ends, m.lastEnd = map[string]*minionRun{}, map[string]uint32{}, nil, 0
	m.changed, m.drainAcked = make(chan struct{}), time.Time{}
	m.server = &http.Server{Handler: m.handler(m.life)}
	go func(s *http.Server) { _ = s.Serve(l) }(m.server)
	ctx, cancel := context.WithCancel(context.Background())
	m.stopBeats = cancel
	go m.beatLoop(ctx, m.life, m.firstBeat)
	m.log("starts, kind %s, capacity %d", m.kind, m.capacity)
	return nil
}

// crash ends the life without notice.
func (m *minion) crash(why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	m.log("%s, %d runs end with it", why, len(m.runs))
	m.up = false
	m.stopBeats()
	for _, r := range m.runs { // before its channels end: no caller may learn of the crash while its runs still count
		r.timer.Stop()
		m.world.ended(m, r, "crash")
	}
	m.runs = map[string]*minionRun{}
	_ = m.server.Close()
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) setFaults(f func(*minionFaults)) {
	m.mu.Lock()
	f(&m.faults)
	m.mu.Unlock()
}

func (m *minion) clockMs() int64 { return int64(m.rate * float64(time.Since(m.booted).Milliseconds())) }

func (m *minion) beatLoop(ctx context.Context, life int, first time.Duration) {
	pause := first
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		m.beat(ctx, life)
		pause = time.Duration(m.world.heartbeatMs-50+rand.IntN(100)) * time.Millisecond
	}
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (m *minion) beat(ctx context.Context, life int) bool {
	m.mu.Lock()
	if m.life != life || !m.up || m.faults.muteBeats {
		m.mu.Unlock()
		return false
	}
	m.sequence++
	state := "ready"
	body := map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": m.capacity, "memMb": 131072, "gpu": 0}, "labels": []string{m.kind, m.rack},
		"clockMs": m.clockMs(), "sequence": m.sequence, "born": m.born,
	}
	if m.draining {
		state = "draining"
		body["remainingMs"] = 2000
	}
	body["state"] = state
	url, sequence, born, kind := "http://"+m.control+"/v1/Instances.Heartbeat/"+m.id, m.sequence, m.born, m.kind
	m.mu.Unlock()
	raw, _ := json.Marshal(body)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	r.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	ok := answer.StatusCode/100 == 2
	m.mu.Lock()
	if ok && m.life == life && state == "draining" && m.drainAcked.IsZero() {
		m.drainAcked = time.Now()
		m.log("draining acknowledged")
	}
	m.mu.Unlock()
	if sequence == 1 || (sequence == 2 && life > 1) {
		m.world.log("%s: heartbeat %d of life %d (born %d, kind %s, %s) answered %d", m.name, sequence, life, born, kind, state, answer.StatusCode)
	}
	return ok
}

// drain makes the minion say that it is draining, until leave.
func (m *minion) drain() {
	m.mu.Lock()
	m.draining = true
	life := m.life
	m.log("drains")
	m.mu.Unlock()
	m.beat(context.Background(), life)
}

// leave ends a draining minion's life as planned.
func (m *minion) leave() {
	m.mu.Lock()
	url := "http://" + m.control + "/v1/Instances.Deregister/" + m.id
	up := m.up
	m.mu.Unlock()
	if !up {
		return
	}
	r, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("{}")))
	if answer, err := (&http.Client{Timeout: time.Second}).Do(r); err == nil {
		_ = answer.Body.Close()
	}
	m.crash("leaves")
}

func (m *minion) handler(life int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", func(w http.ResponseWriter, r *http.Request) {
		var q startBody
		if !m.receive(w, r, life, &q) {
			return
		}
		m.order(w, life, "start "+q.Task, func() string { return m.runStart(q) })
	})
	mux.HandleFunc("POST /v1/run-stop", func(w http.ResponseWriter, r *http.Request) {
		var q startBody
		if !m.receive(w, r, life, &q) {
			return
		}
		m.order(w, life, "stop "+q.Task, func() string { return m.runStop(q) })
	})
	mux.HandleFunc("POST /v1/hold", func(w http.ResponseWriter, r *http.Request) { m.hold(w, r, life) })
	return mux
}

type startBody struct {
	Task         string `json:"task"`
	Run          uint32 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
}

// receive decodes a call. It returns false after it has dealt with one that is not carried out.
func (m *minion) receive(w http.ResponseWriter, r *http.Request, life int, into any) bool {
	if json.NewDecoder(r.Body).Decode(into) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	m.mu.Lock()
	hang, id, mine := m.faults.hang, m.id, m.life == life && m.up
	m.mu.Unlock()
	if !mine {
		panic(http.ErrAbortHandler)
	}
	if hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

// order carries out an order, or answers nothing and carries it out late.
func (m *minion) order(w http.ResponseWriter, life int, what string, do func() string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.late > 0 && rand.Float64() < m.faults.late {
		time.AfterFunc(time.Duration(2000+rand.IntN(10_000))*time.Millisecond, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.life == life && m.up {
				if reason := do(); reason == "" {
					m.log("%s carried out late", what)
				}
			}
		})
		panic(http.ErrAbortHandler)
	}
	if reason := do(); reason != "" {
		writeJSON(w, http.StatusConflict, map[string]any{"clockMs": m.clockMs(), "reason": reason})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": m.clockMs()})
}

func (m *minion) used() int64 {
	used := int64(0)
	for _, r := range m.runs {
		used += r.need
	}
	return used
}

func (m *minion) runStart(q startBody) string {
	if q.FencingToken < m.token {
		return "fence"
	}
	m.token = q.FencingToken
	active := m.runs[q.Task]
	if active != nil && active.run == q.Run {
		m.renew(q.DeadlineMs)
		return ""
	}
	if q.DeadlineMs < m.clockMs() {
		return "late"
	}
	if q.Run <= m.highest[q.Task] {
		m.renew(q.DeadlineMs)
		return "old"
	}
	var spec taskSpec
	_ = json.Unmarshal([]byte(q.Spec), &spec)
	if m.used()+spec.CPU > m.capacity {
		m.renew(q.DeadlineMs)
		return "room"
	}
	m.renew(q.DeadlineMs)
	m.highest[q.Task] = q.Run
	key := q.Task
	if active != nil {
		key = fmt.Sprintf("%s#%d", q.Task, q.Run)
	}
	run := &minionRun{task: q.Task, run: q.Run, need: spec.CPU, began: time.Now(), dur: time.Duration(spec.Ms) * time.Millisecond}
	m.runs[key] = run
	m.world.started(m, run, q.Spec)
	how := "done"
	if spec.Fail {
		how = "failed"
	}
	run.timer = time.AfterFunc(run.dur, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.finish(key, run, how)
	})
	return ""
}

func (m *minion) finish(key string, run *minionRun, how string) {
	if m.runs[key] != run {
		return
	}
	run.timer.Stop()
	delete(m.runs, key)
	m.lastEnd++
	m.highest[run.task] = max(m.highest[run.task], run.run)
	m.ends = append(m.ends, []any{m.lastEnd, run.task, run.run, how, ""})
	m.world.ended(m, run, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) runStop(q startBody) string {
	if q.FencingToken < m.token {
		return "fence"
	}
	m.token = q.FencingToken
	m.highest[q.Task] = max(m.highest[q.Task], q.Run)
	for key, run := range m.runs {
		if run.task == q.Task && run.run <= q.Run {
			time.AfterFunc(20*time.Millisecond, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.finish(key, run, "stopped")
			})
		}
	}
	return ""
}

// renew prolongs the lease of all runs.
func (m *minion) renew(deadlineMs int64) {
	end := m.booted.Add(time.Duration(float64(deadlineMs)/m.rate) * time.Millisecond)
	if limit := time.Now().Add(time.Duration(float64(holdMax) / m.rate)); end.After(limit) {
		end = limit
	}
	if !end.After(m.leaseEnd) {
		return
	}
	m.leaseEnd = end
	time.AfterFunc(time.Until(end), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if time.Now().Before(m.leaseEnd) {
			return
		}
		for key, run := range m.runs {
			m.finish(key, run, "lapsed")
		}
	})
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, life int) {
	var q struct {
		DeadlineMs   int64  `json:"deadlineMs"`
		FencingToken uint64 `json:"fencingToken"`
		SeenUpto     int    `json:"seenUpto"`
		WaitMs       int64  `json:"waitMs"`
	}
	if !m.receive(w, r, life, &q) {
		return
	}
	m.mu.Lock()
	if q.FencingToken < m.token {
		defer m.mu.Unlock()
		writeJSON(w, http.StatusConflict, map[string]any{"clockMs": m.clockMs(), "reason": "fence"})
		return
	}
	m.token = q.FencingToken
	if q.DeadlineMs > 0 {
		m.renew(q.DeadlineMs)
	}
	for len(m.ends) > 0 && m.ends[0][0].(int) <= q.SeenUpto {
		m.ends = m.ends[1:]
	}
	if len(m.ends) == 0 && q.WaitMs > 0 {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(q.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	if m.life != life || !m.up {
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for _, run := range m.runs {
		percent := int(100 * time.Since(run.began) / max(run.dur, 1))
		running = append(running, []any{run.task, run.run, "", min(percent, 99), run.need})
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"clockMs": m.clockMs(), "born": m.born, "running": running, "ended": append([][]any{}, m.ends[:min(len(m.ends), 500)]...),
	})
}
