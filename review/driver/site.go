package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	host    = "novo13.example"
	prefix  = "/gono990/"
	service = "huvo11a"
)

var zones = []string{"catania", "palermo", "siracusa"}

// site is a small installation: fronts with gateways, minions with agents, and the platform's store.
type site struct {
	*world
	store   *store
	fronts  []*process
	agents  []*process
	minions []*minion
	version int
	routes  []map[string]any
}

// siteOptions says how large a site is and what its minions are.
type siteOptions struct {
	fronts    int
	kinds     []string // of the minions
	capacity  int64
	firstBeat func(i int) time.Duration
}

// networkLock keeps the network of this process's site from being taken by another process.
var networkLock net.Listener

// takeNetwork returns the second byte of a loopback network that no other site uses. The site holds networkLock in it until the
// program ends.
func takeNetwork() (int, error) {
	for range 500 {
		n := 20 + rand.IntN(200)
		lock, err := net.Listen("tcp", at(fmt.Sprintf("127.%d.0.1", n), portFront))
		if err != nil {
			continue
		}
		networkLock = lock
		free := true
		for _, ip := range []string{"1.1", "1.2", "1.3", "2.1", "2.2"} {
			for _, port := range []int{portFront, portReady, portControl, portLink, portMinion, portMetrics} {
				l, err := net.Listen("tcp", at(fmt.Sprintf("127.%d.%s", n, ip), port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return n, nil
		}
	}
	return 0, errors.New("no free loopback network")
}

func newSite(w *world, programs string, o siteOptions) (*site, error) {
	s := &site{world: w, store: newStore()}
	network, err := takeNetwork()
	if err != nil {
		return nil, err
	}
	seeds := []string{}
	for i := range o.fronts {
		seeds = append(seeds, at(fmt.Sprintf("127.%d.1.%d", network, i+1), portControl))
	}
	s.configure(true)
	newProcess := func(program, name, ip, zone string, app string) (*process, error) {
		port, err := s.store.listen(fmt.Sprintf("127.%d.0.1", network))
		if err != nil {
			return nil, err
		}
		p := &process{world: w, program: filepath.Join(programs, program), name: name, ip: ip, zone: zone, store: port, isFront: app == ""}
		if err := p.writeSettings(seeds, zones, app); err != nil {
			return nil, err
		}
		return p, nil
	}
	for i := range o.fronts {
		zone := zones[i%len(zones)]
		p, err := newProcess("rosedrift-entry", fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), fmt.Sprintf("127.%d.1.%d", network, i+1), zone, "")
		if err != nil {
			return nil, err
		}
		s.fronts = append(s.fronts, p)
	}
	for i, kind := range o.kinds {
		zone := zones[i%len(zones)]
		ip := fmt.Sprintf("127.%d.2.%d", network, i+1)
		m := &minion{
			world: w, name: fmt.Sprintf("minion-%s-%d", zone, i/len(zones)+1), ip: ip, service: service, zone: zone,
			rack: fmt.Sprintf("r1-%d", i/2+1), control: at(ip, portControl), address: at(ip, portMinion), id: fmt.Sprintf("i-%08x", rand.Uint32()),
			kind: kind, capacity: o.capacity, rate: 1 - 0.02*float64(i%2),
		}
		if o.firstBeat != nil {
			m.firstBeat = o.firstBeat(i)
		}
		p, err := newProcess("rosedrift-roomagent", fmt.Sprintf("side-%s-%d", zone, i/len(zones)+1), ip, zone, m.address)
		if err != nil {
			return nil, err
		}
		s.minions, s.agents = append(s.minions, m), append(s.agents, p)
	}
	for _, m := range s.minions {
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	for _, p := range slices.Concat(s.fronts, s.agents) {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	for _, p := range s.fronts {
		go p.watchReady()
	}
	return s, nil
}

// configure writes the next version of the config.
func (s *site) configure(first bool) {
	s.version += 3
	if first {
		s.routes = []map[string]any{{
			"name": "prenota", "host": host, "prefix": prefix, "timeoutMs": 30000, "targetLatencyMs": 60, "priority": 2, "service": service,
			"maxAttempts": 4, "stretch": 1.6,
		}}
	}
	s.store.operatorPut("op/config", map[string]any{
		"version": s.version, "routes": s.routes, "services": []map[string]any{{"name": service, "admissionCheck": true}},
		"limits": map[string]any{"maxBodyBytes": 262144},
	})
	s.log("operator: config version %d", s.version)
}

// awaitReady waits until all fronts are in rotation.
func (s *site) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(s.fronts, func(p *process) bool { return !p.rotating() }) {
			return nil
		}
	}
	return errors.New("the site does not become ready")
}

// close ends all processes.
func (s *site) close() {
	for _, p := range slices.Concat(s.fronts, s.agents) {
		p.signal(9)
	}
	for _, p := range slices.Concat(s.fronts, s.agents) {
		p.wait(2 * time.Second)
	}
	for _, m := range s.minions {
		m.crash("is ended with the test")
	}
}

// pick selects the front for a new channel of a client, as the platform does: that of the client's zone, which the hash of the client
// stands for here, since each zone has one front. A retry leaves out the front of the attempt before.
func (s *site) pick(client string, not *process) *process {
	var usable []*process
	for _, p := range s.fronts {
		if p.rotating() && p != not {
			usable = append(usable, p)
		}
	}
	if len(usable) == 0 {
		usable = s.fronts
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, client)
	return usable[int(h.Sum32())%len(usable)]
}

// client sends one job.
type client struct {
	site  *site
	name  string
	job   *job
	wait  time.Duration
	tries int
	// anyFront lets a retry reach the front of the attempt before, if that is the client's.
	anyFront bool
	// leaveAfter makes the client close its channel of the first attempt after this time.
	leaveAfter time.Duration
	// cut closes the channel of the attempt in progress.
	mu   sync.Mutex
	conn net.Conn
	// cancelled is set once the client cancels the job: it doesn't send it again.
	cancelled bool
	at        *process
	done      chan struct{}
}

var jobNumber struct {
	sync.Mutex
	n uint64
}

func newJob(steps []jobStep, spec taskSpec) *job {
	jobNumber.Lock()
	jobNumber.n++
	n := jobNumber.n
	jobNumber.Unlock()
	raw, _ := json.Marshal(struct {
		taskSpec
		N uint64 `json:"n"`
	}{spec, n})
	return &job{id: fmt.Sprintf("%08x%08x", rand.Uint32(), uint32(n)), spec: string(raw), steps: steps, doneTasks: map[string]bool{}}
}

// submit sends a job in the background.
func (s *site) submit(name string, j *job, wait time.Duration) *client {
	s.mu.Lock()
	s.jobs[j.id] = j
	s.mu.Unlock()
	return &client{site: s, name: name, job: j, wait: wait, tries: 4, done: make(chan struct{})}
}

func (c *client) start() *client {
	go c.run()
	return c
}

// cut resets the channel of the attempt in progress.
func (c *client) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
		_ = t.Close()
	}
}

func (c *client) stopResending() {
	c.mu.Lock()
	c.cancelled = true
	c.mu.Unlock()
}

// run sends the job until it is answered, as PROTOCOL.md tells clients to do.
func (c *client) run() {
	defer close(c.done)
	var last *process
	for attempt := range c.tries {
		if c.anyFront {
			last = nil
		}
		p := c.site.pick(c.name, last)
		last = p
		wait := c.wait
		if attempt == 0 && c.leaveAfter > 0 {
			wait = c.leaveAfter
		}
		status, body := c.attempt(p, wait)
		w := c.site.world
		w.mu.Lock()
		c.job.attempts++
		if status == 429 || status == 503 {
			c.job.rejected++
			c.job.lastReject = time.Now()
		}
		answer := fmt.Sprintf("%d %s", status, body)
		c.job.answers = append(c.job.answers, answer)
		w.logLocked("client %s: attempt %d of %s at %s: %s", c.name, attempt+1, c.job.id, p.name, answer)
		if status == 200 && bytes.Contains([]byte(body), []byte(`"completed"`)) {
			for step, st := range c.job.steps {
				for i := range st.Count {
					if !c.job.doneTasks[fmt.Sprintf("%s.0.%d.%d", c.job.id, step, i)] {
						w.breaks("MIXED", "job %s is shown as completed, task %d.%d has not ended done", c.job.id, step, i)
					}
				}
			}
		}
		w.mu.Unlock()
		if status != 0 && status != 502 && status != 504 {
			return
		}
		time.Sleep(1300 * time.Millisecond)
		c.mu.Lock()
		cancelled := c.cancelled
		c.mu.Unlock()
		if cancelled {
			return
		}
	}
}

// attempt sends the job once over a channel of its own. Status 0 means no answer.
func (c *client) attempt(p *process, wait time.Duration) (int, string) {
	body, _ := json.Marshal(map[string]any{"spec": c.job.spec, "steps": c.job.steps, "bestEffort": true})
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
		c.mu.Lock()
		c.conn, c.at = conn, p
		c.mu.Unlock()
		return conn, err
	}}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at(p.ip, portFront)+prefix+c.job.id, bytes.NewReader(body))
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", strconv.FormatInt(c.wait.Milliseconds(), 10))
	answer, err := transport.RoundTrip(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	raw, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(bytes.TrimSpace(raw))
}

// call sends a GET or DELETE for a job to a front and returns the status, 0 for no answer.
func (s *site) call(p *process, method, id string) int {
	transport := &http.Transport{DisableKeepAlives: true}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+at(p.ip, portFront)+prefix+id, nil)
	r.Host = host
	answer, err := transport.RoundTrip(r)
	status := 0
	if err == nil {
		status = answer.StatusCode
		_ = answer.Body.Close()
	}
	s.log("client: %s %s at %s: %d", method, id, p.name, status)
	return status
}

func tempDir() string {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		panic(err)
	}
	return dir
}
