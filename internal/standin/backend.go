package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Headers of the backend server protocol. A server repeats the job and task headers in its answer, so that the agent
// recognizes an answer that belongs to another task.
const (
	headerJob  = "Rosedrift-Job"
	headerTask = "Rosedrift-Task"
	headerKind = "Rosedrift-Kind"
)

const (
	// announceInterval is the interval of the announcements to the agent.
	announceInterval = time.Second
	// slotTimeout is how long a request waits for a slot before it counts as a violation. After the agent has aborted a
	// task and freed its slot, it takes some time until the server sees the connection of that task closed.
	slotTimeout = 500 * time.Millisecond
	// requestTimeout bounds the request of an announcement.
	requestTimeout = time.Second
)

// BackendOptions configures a stand-in of a backend server.
type BackendOptions struct {
	Name    string
	Service string
	// Address is the listening address, for example 127.0.0.1:0.
	Address string
	// Agent is the address (host:port) of the agent to which the server announces itself. If it is empty, the server makes
	// no announcements.
	Agent string
	// Slots and Connections are the limits that the server announces and enforces.
	Slots       int
	Connections int
	// Faults are the initial faults.
	Faults BackendFaults
	// Seed makes the jitter of the run times reproducible.
	Seed uint64
	// Logger may be nil.
	Logger log.Logger
}

// BackendFaults holds the faults of a backend server. The zero value is a server without faults. POST /faults replaces them.
type BackendFaults struct {
	// Slowness multiplies the run times; 0 means 1.
	Slowness float64 `json:"slowness"`
	// Jitter, from 0 to 1, is the largest share by which run times are lengthened or shortened at random.
	Jitter float64 `json:"jitter"`
	// Hang keeps tasks running until they are aborted.
	Hang bool `json:"hang"`
	// FailAll answers every task with status 500.
	FailAll bool `json:"fail_all"`
	// AnswerTwice writes each answer twice on its connection.
	AnswerTwice bool `json:"answer_twice"`
	// AnswerWrong answers each task with the headers and the result of the previous one.
	AnswerWrong bool `json:"answer_wrong"`
	// LateMillis delays each answer after the task has ended and freed its slot.
	LateMillis int64 `json:"late_ms"`
	// Pause suspends the announcements, the start of tasks and their end, as if the process were paused.
	Pause bool `json:"freeze"`
}

// BackendStart records the start of a task.
type BackendStart struct {
	// Seq numbers the starts of a server from 1.
	Seq  uint64 `json:"seq"`
	Job  string `json:"job"`
	Task string `json:"task"`
	Kind string `json:"kind,omitempty"`
	// Time is the time of the start.
	Time time.Time `json:"time"`
}

// BackendStats holds the counters of a server.
type BackendStats struct {
	Started            uint64 `json:"started"`
	Finished           uint64 `json:"finished"`
	Aborted            uint64 `json:"aborted"`
	Running            int    `json:"running"`
	MaxRunning         int    `json:"max_running"`
	Connections        int    `json:"connections"`
	MaxConnections     int    `json:"max_connections"`
	SlotViolations     uint64 `json:"slot_violations"`
	ConnectionOverruns uint64 `json:"connection_overruns"`
}

// BackendPayload is the payload of a task that the stand-in runs.
type BackendPayload struct {
	// RunMillis is the run time on a server of slowness 1.
	RunMillis float64 `json:"run_ms"`
	Echo      string  `json:"echo,omitempty"`
}

// BackendResult is the result of a task. It lets a caller verify that an answer belongs to its task.
type BackendResult struct {
	Server string `json:"server"`
	Job    string `json:"job"`
	Task   string `json:"task"`
	// Digest is the SHA-256 hash of the payload in hexadecimal.
	Digest string `json:"digest"`
	Echo   string `json:"echo,omitempty"`
}

// VerifyBackendResult returns an error if a result does not belong to the given task and payload.
func VerifyBackendResult(result []byte, job, task string, payload []byte) error {
	var got BackendResult
	if err := json.Unmarshal(result, &got); err != nil {
		return fmt.Errorf("result of task %s of job %s: %w", task, job, err)
	}
	want := BackendResult{Server: got.Server, Job: job, Task: task, Digest: digest(payload), Echo: got.Echo}
	if got != want {
		return fmt.Errorf("result of task %s of job %s: want digest %s, got %+v", task, job, want.Digest, got)
	}
	return nil
}

func digest(payload []byte) string {
	sum := sha256.Sum256(payload)
	return hex.EncodeToString(sum[:])
}

// Backend is a stand-in of a backend server that offers slots to an agent: an HTTP server that runs a task by waiting for its
// run time.
type Backend struct {
	options  BackendOptions
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	stop     chan struct{}
	group    sync.WaitGroup

	// mu guards the fields below.
	mu     sync.Mutex
	faults BackendFaults
	// resumed is closed unless the faults pause the server.
	resumed chan struct{}
	starts  []BackendStart
	stats   BackendStats
	// previous is the last answer, for the fault AnswerWrong.
	previous *answer
	random   *rand.Rand
}

// answer is the answer to a request to run a task.
type answer struct {
	job, task string
	status    int
	body      []byte
}

// NewBackend starts a backend server. It returns an error if it cannot listen at the address.
func NewBackend(options BackendOptions) (*Backend, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("backend server %s: %w", options.Name, err)
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	b := &Backend{
		options:  options,
		listener: listener,
		slots:    make(chan struct{}, options.Slots),
		stop:     make(chan struct{}),
		resumed:  make(chan struct{}),
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
	}
	close(b.resumed)
	b.SetFaults(options.Faults)
	b.server = &http.Server{
		Handler: b.routes(),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
	}
	b.group.Add(1)
	go b.serve()
	if options.Agent != "" {
		b.group.Add(1)
		go b.announceLoop()
	}
	return b, nil
}

func (b *Backend) serve() {
	defer b.group.Done()
	err := b.server.Serve(&backendListener{Listener: b.listener, backend: b})
	if !errors.Is(err, http.ErrServerClosed) {
		_ = level.Error(b.options.Logger).Log("msg", "backend server stopped serving", "err", err)
	}
}

func (b *Backend) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", b.run)
	mux.HandleFunc("POST /faults", b.postFaults)
	mux.HandleFunc("GET /starts", b.getStarts)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeBackendJSON(w, b.Stats()) })
	return mux
}

// Address returns the listening address (host:port).
func (b *Backend) Address() string { return b.listener.Addr().String() }

// Close withdraws the announcement, waits for the running tasks and stops the server. If the context ends first, Close cuts
// off the running tasks and returns the context's error.
func (b *Backend) Close(ctx context.Context) error {
	b.SetFaults(BackendFaults{})
	close(b.stop)
	err := b.server.Shutdown(ctx)
	if err != nil {
		_ = b.server.Close()
	}
	b.group.Wait()
	return err
}

// Kill stops the server at once without notice to its agent, as the failure of its VM does.
func (b *Backend) Kill() {
	b.mu.Lock()
	b.options.Agent = ""
	b.mu.Unlock()
	close(b.stop)
	_ = b.server.Close()
	b.group.Wait()
}

// SetFaults replaces the faults.
func (b *Backend) SetFaults(faults BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if faults.Pause != b.faults.Pause {
		if faults.Pause {
			b.resumed = make(chan struct{})
		} else {
			close(b.resumed)
		}
	}
	b.faults = faults
}

// Stats returns the counters.
func (b *Backend) Stats() BackendStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// Starts returns the records of the starts whose sequence numbers are higher than after.
func (b *Backend) Starts(after uint64) []BackendStart {
	b.mu.Lock()
	defer b.mu.Unlock()
	if after >= uint64(len(b.starts)) {
		return []BackendStart{}
	}
	return append([]BackendStart(nil), b.starts[after:]...)
}

func (b *Backend) currentFaults() BackendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

func (b *Backend) postFaults(w http.ResponseWriter, r *http.Request) {
	var faults BackendFaults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.SetFaults(faults)
}

func (b *Backend) getStarts(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeBackendJSON(w, b.Starts(after))
}

func writeBackendJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// run serves a request to run one task.
func (b *Backend) run(w http.ResponseWriter, r *http.Request) {
	var payload BackendPayload
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(raw, &payload)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !b.countConnection(r) {
		http.Error(w, "too many connections", http.StatusServiceUnavailable)
		return
	}
	if !b.awaitResume(r.Context()) || !b.takeSlot(r.Context()) {
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	a := answer{job: r.Header.Get(headerJob), task: r.Header.Get(headerTask), status: http.StatusOK}
	b.recordStart(&a, r.Header.Get(headerKind))
	ended := b.execute(r.Context(), payload)
	b.recordEnd(ended)
	<-b.slots
	if !ended {
		return
	}
	a.body, _ = json.Marshal(BackendResult{
		Server: b.options.Name, Job: a.job, Task: a.task, Digest: digest(raw), Echo: payload.Echo,
	})
	b.reply(w, r, a)
}

// countConnection counts the connection of a request to run a task. It returns false if the server already has as many such
// connections as it allows.
func (b *Backend) countConnection(r *http.Request) bool {
	conn, _ := r.Context().Value(connectionKey{}).(*backendConn)
	b.mu.Lock()
	defer b.mu.Unlock()
	if conn.counted {
		return true
	}
	if b.stats.Connections >= b.options.Connections {
		b.stats.ConnectionOverruns++
		return false
	}
	conn.counted = true
	b.stats.Connections++
	b.stats.MaxConnections = max(b.stats.MaxConnections, b.stats.Connections)
	return true
}

// awaitResume waits while the faults pause the server. It returns false if the context ends first.
func (b *Backend) awaitResume(ctx context.Context) bool {
	b.mu.Lock()
	resumed := b.resumed
	b.mu.Unlock()
	select {
	case <-resumed:
		return true
	case <-ctx.Done():
		return false
	}
}

// takeSlot waits up to slotTimeout for a free slot. It returns false if it gets none.
func (b *Backend) takeSlot(ctx context.Context) bool {
	select {
	case b.slots <- struct{}{}:
		return true
	default:
	}
	limit := time.NewTimer(slotTimeout)
	defer limit.Stop()
	select {
	case b.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	case <-limit.C:
		b.mu.Lock()
		b.stats.SlotViolations++
		b.mu.Unlock()
		return false
	}
}

func (b *Backend) recordStart(a *answer, kind string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Started++
	b.stats.Running++
	b.stats.MaxRunning = max(b.stats.MaxRunning, b.stats.Running)
	b.starts = append(b.starts, BackendStart{
		Seq: b.stats.Started, Job: a.job, Task: a.task, Kind: kind, Time: time.Now(),
	})
}

func (b *Backend) recordEnd(ended bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Running--
	if ended {
		b.stats.Finished++
	} else {
		b.stats.Aborted++
	}
}

// execute waits for the run time of a task. It returns false if the task was aborted.
func (b *Backend) execute(ctx context.Context, payload BackendPayload) bool {
	duration, hang := b.runTime(payload)
	if hang {
		<-ctx.Done()
		return false
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return b.awaitResume(ctx)
	case <-ctx.Done():
		return false
	}
}

func (b *Backend) runTime(payload BackendPayload) (duration time.Duration, hang bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	factor := 1.0
	if b.faults.Slowness > 0 {
		factor = b.faults.Slowness
	}
	factor *= 1 + b.faults.Jitter*(2*b.random.Float64()-1)
	return time.Duration(payload.RunMillis * factor * float64(time.Millisecond)), b.faults.Hang
}

// jsonContentType is the content type of all results of tasks.
var jsonContentType = []string{"application/json"}

// reply sends the answer to a task and applies the faults that concern answers.
func (b *Backend) reply(w http.ResponseWriter, r *http.Request, a answer) {
	faults := b.currentFaults()
	if faults.LateMillis > 0 {
		time.Sleep(time.Duration(faults.LateMillis) * time.Millisecond)
	}
	if faults.FailAll {
		a.status = http.StatusInternalServerError
		a.body = []byte("this server fails every task")
	}
	b.mu.Lock()
	previous := b.previous
	b.previous = &a
	b.mu.Unlock()
	if faults.AnswerWrong && previous != nil {
		a = *previous
	}
	// A given content type and a suppressed date spare net/http the inspection of the content and the formatting of a time
	// for each task.
	w.Header()["Content-Type"] = jsonContentType
	w.Header()["Date"] = nil
	w.Header().Set(headerJob, a.job)
	w.Header().Set(headerTask, a.task)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
	if faults.AnswerTwice {
		_ = http.NewResponseController(w).Flush()
		repeatAnswer(r, a)
	}
}

// repeatAnswer writes a second copy of an answer directly to the connection, since net/http allows only one answer.
func repeatAnswer(r *http.Request, a answer) {
	response := http.Response{
		StatusCode:    a.status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        http.Header{headerJob: {a.job}, headerTask: {a.task}},
		ContentLength: int64(len(a.body)),
		Body:          io.NopCloser(bytes.NewReader(a.body)),
	}
	conn, _ := r.Context().Value(connectionKey{}).(*backendConn)
	_ = response.Write(conn)
}

// announceLoop announces the server until it stops, then withdraws the announcement.
func (b *Backend) announceLoop() {
	defer b.group.Done()
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if !b.currentFaults().Pause {
			b.announce(client, http.MethodPost)
		}
		select {
		case <-b.stop:
			b.announce(client, http.MethodDelete)
			return
		case <-ticker.C:
		}
	}
}

// announce sends one announcement or, with DELETE, withdraws it. It does not retry, since announcements are periodic.
func (b *Backend) announce(client *http.Client, method string) {
	b.mu.Lock()
	agent := b.options.Agent
	b.mu.Unlock()
	if agent == "" {
		return
	}
	body, _ := json.Marshal(map[string]any{
		"service":     b.options.Service,
		"address":     b.Address(),
		"slots":       b.options.Slots,
		"connections": b.options.Connections,
		"name":        b.options.Name,
	})
	request, err := http.NewRequest(method, "http://"+agent+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := client.Do(request)
	if err != nil {
		_ = level.Warn(b.options.Logger).Log("msg", "announcement failed", "err", err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

// backendListener wraps accepted connections so that those that carry tasks can be counted.
type backendListener struct {
	net.Listener
	backend *Backend
}

// Accept waits for the next connection.
func (l *backendListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &backendConn{Conn: conn, backend: l.backend}, nil
}

// backendConn is a connection to the server. counted says whether it is part of BackendStats.Connections and is guarded by
// Backend.mu.
type backendConn struct {
	net.Conn
	backend *Backend
	counted bool
}

// Close closes the connection and removes it from the count.
func (c *backendConn) Close() error {
	c.backend.mu.Lock()
	if c.counted {
		c.counted = false
		c.backend.stats.Connections--
	}
	c.backend.mu.Unlock()
	return c.Conn.Close()
}
