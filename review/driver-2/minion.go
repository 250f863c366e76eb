package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// The bounds of the site file afs-breizh that minions keep.
	holdMax       = time.Second
	stopTime      = 20 * time.Millisecond // at most stopMs, 50 ms
	heartbeatTime = 1500 * time.Millisecond
)

type runKey struct {
	task string
	run  uint32
}

type activeRun struct {
	cpu      int64
	since    time.Time
	duration time.Duration
	timer    *time.Timer
}

// minion is a stand-in of a backend server without faults: it starts, stops and lists runs as PROTOCOL.md says, guards its capacity
// and keeps leases and fencing tokens. The spec of a job gives its tasks' run time in ms and their cpu, as "900 1000".
type minion struct {
	id, service, zone, rack string
	address, agent          string
	cpu                     int64
	observe                 func(m *minion, task string, run uint32, what string)

	mu       sync.Mutex
	born     time.Time
	token    uint64
	leaseEnd time.Time
	used     int64
	runs     map[runKey]*activeRun
	highest  map[string]uint32
	ended    [][]any
	number   uint64
	sequence uint64
	changed  chan struct{}
	server   *http.Server
	down     bool
	// lateShare is the share of calls that get no answer and are carried out 2 to 12 s later.
	lateShare float64
}

func (m *minion) run(ctx context.Context) error {
	if err := m.serve(); err != nil {
		return err
	}
	context.AfterFunc(ctx, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		_ = m.server.Close()
	})
	go m.heartbeats(ctx)
	return nil
}

func (m *minion) serve() error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.born, m.runs, m.highest, m.changed = time.Now(), map[runKey]*activeRun{}, map[string]uint32{}, make(chan struct{})
	m.token, m.leaseEnd, m.used, m.ended, m.number, m.sequence, m.down = 0, time.Time{}, 0, nil, 0, 0, false
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", m.start)
	mux.HandleFunc("POST /v1/run-stop", m.stop)
	mux.HandleFunc("POST /v1/hold", m.hold)
	m.server = &http.Server{Handler: mux}
	server := m.server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends the minion's process; it starts again under the same id after a time.
func (m *minion) crash(after time.Duration) {
	m.mu.Lock()
	m.down = true
	for key := range m.runs {
		m.end(key, "crashed")
	}
	server := m.server
	m.mu.Unlock()
	_ = server.Close()
	time.Sleep(after)
	for m.serve() != nil {
		time.Sleep(20 * time.Millisecond)
	}
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() + 1 }

func (m *minion) heartbeats(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		m.mu.Lock()
		if m.down {
			m.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			continue
		}
		m.sequence++
		raw, _ := json.Marshal(map[string]any{
			"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]any{"cpu": m.cpu, "memMb": 32768, "gpu": 0}, "labels": []string{"a", m.rack},
			"clockMs": m.clock(), "sequence": m.sequence, "born": m.born.UnixMilli(),
		})
		m.mu.Unlock()
		response, err := client.Post("http://"+m.agent+"/v1/Instances.Heartbeat/"+m.id, "application/json", bytes.NewReader(raw))
		pause := heartbeatTime
		if err != nil {
			pause = heartbeatTime / 3 // no daemon has acknowledged it
		} else {
			_ = response.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

type orderBody struct {
	Task         string `json:"task"`
	Run          uint32 `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	SeenUpto     uint64 `json:"seenUpto"`
	WaitMs       int64  `json:"waitMs"`
}

// order decodes a call. If it returns true, the caller holds m.mu and must unlock it.
func (m *minion) order(w http.ResponseWriter, r *http.Request, body *orderBody) bool {
	if json.NewDecoder(r.Body).Decode(body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	m.mu.Lock()
	if m.down {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if m.lateShare > 0 && r.Header.Get("X-Late") == "" && rand.Float64() < m.lateShare {
		server, born := m.server, m.born
		m.mu.Unlock()
		raw, _ := json.Marshal(body)
		late := r.Clone(context.Background())
		late.Body = io.NopCloser(bytes.NewReader(raw))
		late.Header.Set("X-Late", "1")
		time.AfterFunc(2*time.Second+time.Duration(rand.Int63n(int64(10*time.Second))), func() {
			m.mu.Lock()
			same := m.born.Equal(born) && !m.down
			m.mu.Unlock()
			if same {
				server.Handler.ServeHTTP(httptest.NewRecorder(), late)
			}
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if body.FencingToken < m.token {
		m.refuse(w, "fence")
		m.mu.Unlock()
		return false
	}
	m.token = body.FencingToken
	return true
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clockMs": m.clock(), "reason": reason})
}

// prolong applies a lease's deadline. The caller holds m.mu.
func (m *minion) prolong(deadline int64) {
	end := m.born.Add(time.Duration(deadline) * time.Millisecond)
	if limit := time.Now().Add(holdMax); end.After(limit) {
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
		for key := range m.runs {
			m.end(key, "lapsed")
		}
	})
}

// end ends a run. The caller holds m.mu.
func (m *minion) end(key runKey, how string) {
	run := m.runs[key]
	if run == nil {
		return
	}
	run.timer.Stop()
	delete(m.runs, key)
	m.used -= run.cpu
	m.number++
	m.ended = append(m.ended, []any{m.number, key.task, key.run, how, ""})
	close(m.changed)
	m.changed = make(chan struct{})
	m.observe(m, key.task, key.run, "ends "+how)
}

func parseSpec(spec string) (time.Duration, int64) {
	fields := strings.Fields(spec)
	if len(fields) < 2 {
		return time.Millisecond, 100
	}
	ms, _ := strconv.Atoi(fields[0])
	cpu, _ := strconv.ParseInt(fields[1], 10, 64)
	return time.Duration(ms) * time.Millisecond, cpu
}

func (m *minion) start(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if !m.order(w, r, &body) {
		return
	}
	defer m.mu.Unlock()
	key := runKey{body.Task, body.Run}
	duration, cpu := parseSpec(body.Spec)
	switch {
	case m.runs[key] != nil:
		reply(w, http.StatusOK, map[string]any{"clockMs": m.clock()})
		return
	case body.Run <= m.highest[body.Task]:
		m.prolong(body.DeadlineMs)
		m.refuse(w, "old")
		return
	case body.DeadlineMs <= m.clock():
		m.refuse(w, "late")
		return
	case m.used+cpu > m.cpu:
		m.prolong(body.DeadlineMs)
		m.refuse(w, "room")
		return
	}
	m.prolong(body.DeadlineMs)
	m.highest[body.Task] = body.Run
	m.used += cpu
	m.runs[key] = &activeRun{cpu: cpu, since: time.Now(), duration: duration, timer: time.AfterFunc(duration, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.end(key, "done")
	})}
	m.observe(m, body.Task, body.Run, "starts")
	reply(w, http.StatusOK, map[string]any{"clockMs": m.clock()})
}

func (m *minion) stop(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if !m.order(w, r, &body) {
		return
	}
	defer m.mu.Unlock()
	m.highest[body.Task] = max(m.highest[body.Task], body.Run)
	key := runKey{body.Task, body.Run}
	time.AfterFunc(stopTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.end(key, "stopped")
	})
	reply(w, http.StatusOK, map[string]any{"clockMs": m.clock()})
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if !m.order(w, r, &body) {
		return
	}
	defer m.mu.Unlock()
	if body.DeadlineMs > 0 {
		m.prolong(body.DeadlineMs)
	}
	for len(m.ended) > 0 && m.ended[0][0].(uint64) <= body.SeenUpto {
		m.ended = m.ended[1:]
	}
	if changed := m.changed; len(m.ended) == 0 && body.WaitMs > 0 {
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(body.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		m.mu.Lock()
	}
	running := [][]any{}
	for key, run := range m.runs {
		percent := min(99, int(100*time.Since(run.since)/run.duration))
		running = append(running, []any{key.task, key.run, "", percent, run.cpu})
	}
	ended := m.ended[:min(500, len(m.ended))]
	if ended == nil {
		ended = [][]any{}
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": m.clock(), "born": m.born.UnixMilli(), "running": running, "ended": ended})
}

func (m *minion) String() string { return fmt.Sprintf("minion %s", m.id) }
