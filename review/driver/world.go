package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// jobStep is a step of a job as clients write it.
type jobStep struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemMb        int64  `json:"memMb"`
	EstimateMs   int    `json:"estimateMs,omitempty"`
	After        []int  `json:"after,omitempty"`
	Requires     string `json:"requires,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
}

// job is what the world knows of a job that a client has sent.
type job struct {
	id         string
	spec       string
	steps      []jobStep
	answers    []string
	rejected   int
	attempts   int
	starts     int
	doneTasks  map[string]bool
	cancelAck  time.Time
	lastReject time.Time
}

type runKey struct {
	task   string
	minion string
	life   int
	run    uint32
}

// world records what clients, minions and the operator have seen, and checks the rules.
type world struct {
	dir         string
	heartbeatMs int
	began       time.Time

	mu       sync.Mutex
	out      *os.File
	jobs     map[string]*job
	active   map[string]map[runKey]time.Time
	zonesOut map[string]time.Time
	broken   map[string]int
	first    []string
	starts   int
	ends     map[string]int
}

func newWorld(record string) (*world, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{
		began: time.Now(), out: out, jobs: map[string]*job{}, active: map[string]map[runKey]time.Time{}, heartbeatMs: 1500,
		zonesOut: map[string]time.Time{}, broken: map[string]int{}, ends: map[string]int{},
	}, nil
}

func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(format, args...)
}

func (w *world) logLocked(format string, args ...any) {
	fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (w *world) breaks(rule, format string, args ...any) {
	w.broken[rule]++
	text := fmt.Sprintf("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
	w.logLocked("%s", text)
	if w.broken[rule] <= 3 {
		w.first = append(w.first, fmt.Sprintf("%8.3f  %s", time.Since(w.began).Seconds(), text))
	}
}

func parseTask(task string) (id string, step, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return task, 0, 0
	}
	_, _ = fmt.Sscan(parts[2], &step)
	_, _ = fmt.Sscan(parts[3], &index)
	return parts[0], step, index
}

// Bounds of the small sites.
const (
	cancelMs   = 3000 * time.Millisecond
	drainMs    = 2000 * time.Millisecond
	evacuateMs = 5000 * time.Millisecond
)

// started records and checks a start. m.mu is held.
func (w *world) started(m *minion, r *minionRun, spec string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	id, step, _ := parseTask(r.task)
	w.logLocked("%s starts %s run %d", m.name, r.task, r.run)
	j := w.jobs[id]
	if j == nil || step >= len(j.steps) || j.spec != spec {
		w.breaks("UNASKED", "%s was told to start %s run %d, which no client sent", m.name, r.task, r.run)
		return
	}
	j.starts++
	for other, since := range w.active[r.task] {
		w.breaks("TWICE", "%s starts %s run %d while run %d runs on %s since %.3f", m.name, r.task, r.run, other.run, other.minion,
			since.Sub(w.began).Seconds())
	}
	if w.active[r.task] == nil {
		w.active[r.task] = map[runKey]time.Time{}
	}
	w.active[r.task][runKey{r.task, m.name, m.life, r.run}] = time.Now()
	st := j.steps[step]
	for _, before := range st.After {
		for i := range j.steps[before].Count {
			if !j.doneTasks[fmt.Sprintf("%s.0.%d.%d", id, before, i)] {
				w.breaks("ORDER", "%s starts %s before step %d has ended", m.name, r.task, before)
				break
			}
		}
	}
	if st.Requires != "" && st.Requires != m.kind && st.Requires != m.rack {
		w.breaks("ROUTE", "%s of kind %s starts %s run %d, which requires %s", m.name, m.kind, r.task, r.run, st.Requires)
	}
	if st.AntiAffinity > 0 {
		count := 0
		for task, runs := range w.active {
			tid, tstep, _ := parseTask(task)
			if tid != id || tstep != step {
				continue
			}
			for k := range runs {
				if k.minion == m.name {
					count++
				}
			}
		}
		if count > st.AntiAffinity {
			w.breaks("ROUTE", "%s runs %d tasks of step %d of %s, antiAffinity %d", m.name, count, step, id, st.AntiAffinity)
		}
	}
	if !j.cancelAck.IsZero() && time.Since(j.cancelAck) > cancelMs {
		w.breaks("UNASKED", "%s starts %s run %d %.3f s after the cancelling of its job was acknowledged", m.name, r.task, r.run,
			time.Since(j.cancelAck).Seconds())
	}
	if !m.drainAcked.IsZero() && time.Since(m.drainAcked) > drainMs {
		w.breaks("DRAIN", "%s starts %s run %d %.3f s after its draining was acknowledged", m.name, r.task, r.run, time.Since(m.drainAcked).Seconds())
	}
	if since, out := w.zonesOut[m.zone]; out && time.Since(since) > evacuateMs {
		w.breaks("EVAC", "%s starts %s in %s %.3f s after its evacuation", m.name, r.task, m.zone, time.Since(since).Seconds())
	}
}

// ended records the end of a run. m.mu is held.
func (w *world) ended(m *minion, r *minionRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[how]++
	delete(w.active[r.task], runKey{r.task, m.name, m.life, r.run})
	if len(w.active[r.task]) == 0 {
		delete(w.active, r.task)
	}
	w.logLocked("%s: %s run %d ends %s", m.name, r.task, r.run, how)
	id, _, _ := parseTask(r.task)
	if j := w.jobs[id]; j != nil && how == "done" {
		j.doneTasks[r.task] = true
	}
}

func (w *world) evacuate(s *store, zone string, out bool) {
	if out {
		s.operatorPut("op/evacuate/"+zone, map[string]any{})
	} else {
		s.operatorRemove("op/evacuate/" + zone)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if out {
		w.zonesOut[zone] = time.Now()
	} else {
		delete(w.zonesOut, zone)
	}
	w.logLocked("operator: evacuation of %s: %v", zone, out)
}

// finalChecks checks what can be said only at the end.
func (w *world) finalChecks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		if j.starts > 0 && j.attempts > 0 && j.rejected == j.attempts {
			w.breaks("REFUSED", "job %s: all %d attempts were rejected, %d starts", j.id, j.attempts, j.starts)
		}
	}
}

// process is a process of the system under test.
type process struct {
	world    *world
	program  string
	name     string
	ip       string
	zone     string
	settings string
	store    *storePort
	isFront  bool

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	wanted  bool
	inRot   bool
	misses  int
	changed time.Time
	exits   int
}

const (
	portFront   = 8161
	portReady   = 8167
	portControl = 8166
	portLink    = 7720
	portMinion  = 8200
	portMetrics = 9180
)

func at(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

var bounds = json.RawMessage(`{"seedLagS": 3, "reuseDelayS": 2, "contactMs": 3000, "ackMs": 4000, "catchupS": 4, "drainMs": 2000,
"graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "coldOver": 1.5, "coldSlack": 5,
"evacuateMs": 5000, "recoverS": 12, "holdMaxMs": 1000, "stopMs": 50, "gangMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
"early_ms": 250, "finish_s": 14, "status_s": 120, "farX": 1.5, "saveS": 2, "restoreMs": 600, "noticeMs": 4500, "moveS": 1.5,
"upkeepS": 2, "requireFencing": true, "leaseMs": 3000, "thawSlackMs": 300, "paceMs": 100, "harmMs": 4000, "resendMs": 1300}`)

func (p *process) writeSettings(seeds []string, zones []string, app string) error {
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "sicilia"
	}
	s := map[string]any{
		"node": p.name, "role": "agent", "machineClass": "side", "serves": []string{"side"}, "ip": p.ip, "zone": p.zone, "region": "sicilia",
		"zones": regions, "portRange": []int{portLink, portLink + 15}, "seeds": seeds, "bootstrap": true, "countsAsLoss": false,
		"listen":  map[string]string{"control": at(p.ip, portControl)},
		"limits":  map[string]any{"cpuShare": 0.24, "cores": 1, "memoryMb": 152, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "local", "entry": "vip", "heartbeatMs": p.world.heartbeatMs,
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "sched", "places", "platform", "advice", "upkeep", "sharing"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0}, "bounds": bounds, "orders": "rpc",
		"platform": map[string]any{
			"address": p.store.address, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
		},
	}
	if p.isFront {
		s["role"], s["machineClass"], s["serves"] = "gateway", "front", []string{"front", "control"}
		s["listen"] = map[string]string{"front": at(p.ip, portFront), "ready": at(p.ip, portReady), "control": at(p.ip, portControl)}
		s["limits"] = map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}
	} else {
		s["app"] = app
	}
	raw, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	p.settings = filepath.Join(p.world.dir, p.name+".json")
	return os.WriteFile(p.settings, raw, 0o600)
}

// start starts the process, which is started again after an end of its own until stopped.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.world.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.program)
	cmd.Env = []string{"ROSEDRIFT_SETTINGS=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + p.world.dir, "LANG=C.UTF-8"}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	done := make(chan struct{})
	p.cmd, p.done, p.wanted = cmd, done, true
	p.world.log("process %s starts", p.name)
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.cmd = nil
		wanted := p.wanted
		if wanted {
			p.exits++
		}
		p.mu.Unlock()
		close(done)
		if wanted {
			p.world.log("process %s ENDED BY ITSELF: %v", p.name, err)
			time.Sleep(500 * time.Millisecond)
			_ = p.start()
		}
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		if s == syscall.SIGKILL || s == syscall.SIGTERM {
			p.wanted = false
		}
		_ = p.cmd.Process.Signal(s)
		p.world.log("process %s gets %v", p.name, s)
	}
}

// wait waits until the process has ended.
func (p *process) wait(limit time.Duration) bool {
	p.mu.Lock()
	done, running := p.done, p.cmd != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// slow makes the process run at some fifth of its speed for a time, by stopping and continuing it.
func (p *process) slow(length time.Duration) {
	p.world.log("process %s turns slow for %v", p.name, length)
	for end := time.Now().Add(length); time.Now().Before(end); {
		p.quietSignal(syscall.SIGSTOP)
		time.Sleep(45 * time.Millisecond)
		p.quietSignal(syscall.SIGCONT)
		time.Sleep(10 * time.Millisecond)
	}
}

func (p *process) quietSignal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// stop stops the process as the platform does.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	if !p.wait(6 * time.Second) {
		p.world.log("process %s is still there at the end of the grace time", p.name)
		p.signal(syscall.SIGKILL)
		p.wait(time.Second)
	}
}

var readyClient = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// watchReady does the platform's checks of a front.
func (p *process) watchReady() {
	for range time.Tick(time.Second) {
		answer, err := readyClient.Get("http://" + at(p.ip, portReady) + "/v1/ready")
		ok := err == nil && answer.StatusCode == http.StatusOK
		if err == nil {
			_ = answer.Body.Close()
		}
		p.mu.Lock()
		was := p.inRot
		switch {
		case ok:
			p.inRot, p.misses = true, 0
		default:
			if p.misses++; p.misses >= 2 {
				p.inRot = false
			}
		}
		now := p.inRot
		p.mu.Unlock()
		if was != now {
			p.world.log("platform: %s in rotation: %v", p.name, now)
		}
	}
}

func (p *process) rotating() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inRot
}
