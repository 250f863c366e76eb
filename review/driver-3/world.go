// Command driver-3 plays one case of the review of issue 46: it starts the programs of the deploy file as separate processes on
// loopback addresses, with stand-ins of the store, the minions and the clients, and checks one rule.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	serviceName = "desk0"
	hostName    = "desk.example"
	prefix      = "/q/"
	// The ports on the address of each machine.
	portFront, portReady, portControl, portLink = 8161, 8167, 8166, 7720
)

// shape is what a task needs and how long it works.
type shape struct {
	cpu  int64
	work time.Duration
}

type process struct {
	name, program, ip, settings string
	cmd                         *exec.Cmd
	ended                       chan struct{}
	log                         *os.File
}

type front struct {
	process
	zone string
}

type side struct {
	process
	zone   string
	minion *minion
}

type activeRun struct {
	minion string
	at     time.Time
}

// start is a run that a minion has begun.
type startEvent struct {
	task   string
	run    uint32
	minion string
	at     time.Time
	used   int64
	room   int64
	shrunk time.Time
}

type world struct {
	dir, root string
	store     *kvStore
	fronts    []*front
	sides     []*side
	network   int
	began     time.Time
	closed    atomic.Bool
	version   int
	admission bool
	extra     map[string]any // more fields of the route
	launches  chan func()    // run by a thread that lives as long as the driver: processes end with the thread that started them

	mu      sync.Mutex
	shapes  map[string]shape // by job
	specs   map[string]string
	lines   []string
	active  map[string]map[string]activeRun // by task, then by minion and run
	starts  []startEvent
	overlap []string
	broken  []string
}

func (w *world) closing() bool { return w.closed.Load() }

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, args...)
}

func (w *world) noteLocked(format string, args ...any) {
	w.lines = append(w.lines, fmt.Sprintf("%9.3f ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (w *world) breach(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.noteLocked("RULE BROKEN: %s", text)
}

func (w *world) shapeOf(task string) shape {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s, ok := w.shapes[jobOf(task)]; ok {
		return s
	}
	return shape{cpu: 1000, work: 100 * time.Millisecond}
}

func (w *world) runStarted(m *minion, key runKey, spec string, used, room int64, shrunk time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked("start  %s run %d at %s, room used %d of %d", key.task, key.run, m.id, used, room)
	w.starts = append(w.starts, startEvent{task: key.task, run: key.run, minion: m.id, at: time.Now(), used: used, room: room, shrunk: shrunk})
	if w.active[key.task] == nil {
		w.active[key.task] = map[string]activeRun{}
	}
	for _, other := range w.active[key.task] {
		w.overlap = append(w.overlap, fmt.Sprintf("%s run %d at %s while a run at %s goes on since %.3f", key.task, key.run, m.id, other.minion,
			other.at.Sub(w.began).Seconds()))
		w.noteLocked("TWO RUNS: %s", w.overlap[len(w.overlap)-1])
	}
	w.active[key.task][fmt.Sprint(m.id, key.run)] = activeRun{minion: m.id, at: time.Now()}
	if want, ok := w.specs[jobOf(key.task)]; ok && want != spec {
		w.noteLocked("OTHER SPEC: %s", key.task)
	}
}

func (w *world) runEnded(m *minion, key runKey, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.active[key.task], fmt.Sprint(m.id, key.run))
	w.noteLocked("end    %s run %d at %s: %s", key.task, key.run, m.id, how)
}

// site is the size of a deployment.
type site struct {
	zones     []string
	fronts    int
	sides     []int // in each zone
	cpu       int64
	admission bool // admissionCheck of the service
	route     map[string]any
}

// smallSite has the machines of the sheets' small sites: 3 fronts and 11 sides in 3 zones.
func smallSite() site {
	return site{zones: []string{"za", "zb", "zc"}, fronts: 3, sides: []int{4, 4, 3}, cpu: 16000, admission: true}
}

func newWorld(s site) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-driver-3-")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, root: root, began: time.Now(), shapes: map[string]shape{}, specs: map[string]string{},
		active: map[string]map[string]activeRun{}, admission: s.admission, extra: s.route,
		launches: make(chan func()),
	}
	go func() {
		runtime.LockOSThread()
		for launch := range w.launches {
			launch()
		}
	}()
	if w.store, err = newStore(); err != nil {
		return nil, err
	}
	w.network = 20 + rand.IntN(200)
	for range 50 { // a network whose addresses nobody uses
		probe, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", w.network, portFront))
		if err == nil {
			_ = probe.Close()
			break
		}
		w.network = 20 + rand.IntN(200)
	}
	w.configure()
	for i := range s.fronts {
		f := &front{zone: s.zones[i%len(s.zones)]}
		f.process = process{name: fmt.Sprintf("front-%s-%d", f.zone, i/len(s.zones)+1), program: "rosedrift-entry", ip: fmt.Sprintf("127.%d.1.%d", w.network, i+1)}
		w.fronts = append(w.fronts, f)
	}
	for z, count := range s.sides {
		for i := range count {
			d := &side{zone: s.zones[z]}
			d.process = process{name: fmt.Sprintf("side-%s-%d", d.zone, i+1), program: "rosedrift-roomagent", ip: fmt.Sprintf("127.%d.2.%d", w.network, len(w.sides)+1)}
			w.sides = append(w.sides, d)
		}
	}
	for _, f := range w.fronts {
		if err := w.prepare(&f.process, f.zone, s.zones, "front"); err != nil {
			return w, err
		}
	}
	for i, d := range w.sides {
		if err := w.prepare(&d.process, d.zone, s.zones, "side"); err != nil {
			return w, err
		}
		labels := []string{"a", fmt.Sprintf("r1-%d", i/3)}
		phase := time.Duration(i) * beatEvery / time.Duration(len(w.sides))
		if d.minion, err = newMinion(w, fmt.Sprintf("i-%08x", 0x7f3a0000+i), d.zone, d.ip, labels, s.cpu, s.admission, phase); err != nil {
			return w, err
		}
	}
	return w, nil
}

// configure writes the next version of the config.
func (w *world) configure() {
	w.version += 3
	route := map[string]any{
		"name": "r0", "host": hostName, "prefix": prefix, "timeoutMs": 30000, "targetLatencyMs": 10000, "priority": 0, "service": serviceName,
		"maxAttempts": 3, "stretch": 1.6,
	}
	for k, v := range w.extra {
		route[k] = v
	}
	raw, _ := json.Marshal(map[string]any{
		"version": w.version, "routes": []any{route}, "services": []any{map[string]any{"name": serviceName, "admissionCheck": w.admission}},
		"limits": map[string]any{"maxBodyBytes": 262144},
	})
	w.store.operatorPut("op/config", raw)
}

// prepare writes the settings file of a process, as DEPLOY.md describes it.
func (w *world) prepare(p *process, zone string, zones []string, class string) error {
	at := func(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "r"
	}
	var seeds []string
	for i, f := range w.fronts {
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", f.ip, portControl))
		}
	}
	settings := map[string]any{
		"node": p.name, "role": class, "machineClass": class, "ip": p.ip, "zone": zone, "region": "r", "zones": regions, "portRange": []int{portLink, portLink + 15},
		"seeds": seeds, "bootstrap": true, "countsAsLoss": false, "dataDir": nil, "discovery": "local", "entry": "vip", "heartbeatMs": beatEvery.Milliseconds(),
		"limits":         map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "sched", "places", "platform", "advice", "upkeep", "sharing"},
		"faultTolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000, "evacuateMs": 5000,
			"holdMaxMs": 1000, "stopMs": 50, "cancel_ms": 3000, "farX": 1.5, "resendMs": 1300, "requireFencing": true, "leaseMs": 3000,
		},
		"orders": "rpc", "platform": map[string]any{
			"address": w.store.address(), "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
		},
	}
	if class == "front" {
		settings["serves"] = []string{"front", "control"}
		settings["listen"] = map[string]string{"front": at(portFront), "ready": at(portReady), "control": at(portControl)}
	} else {
		settings["serves"] = []string{"side"}
		settings["listen"] = map[string]string{"control": at(portControl)}
		settings["app"] = p.ip + ":9000"
	}
	raw, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return err
	}
	p.settings = filepath.Join(w.dir, p.name+".json")
	return os.WriteFile(p.settings, raw, 0o600)
}

// launch starts a process with the command of the deploy file.
func (w *world) launch(p *process) error {
	log, err := os.OpenFile(filepath.Join(w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join("target", p.program))
	cmd.Dir, cmd.Stdout, cmd.Stderr = w.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C", "ROSEDRIFT_SETTINGS=" + p.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL} // also if the driver is killed
	started := make(chan error)
	w.launches <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	p.cmd, p.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		err := cmd.Wait()
		w.note("process %s ended: %v", p.name, err)
		_ = log.Close()
		close(ended)
	}(p.ended)
	return nil
}

func (w *world) signal(p *process, sig syscall.Signal) {
	w.note("signal %v to %s", sig, p.name)
	_ = p.cmd.Process.Signal(sig)
	if sig == syscall.SIGKILL {
		<-p.ended
	}
}

// launchAll starts all processes and waits until the fronts are ready.
func (w *world) launchAll() error {
	var all []*process
	for _, f := range w.fronts {
		all = append(all, &f.process)
	}
	for _, d := range w.sides {
		all = append(all, &d.process)
	}
	rand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	for _, p := range all { // all machines start within 0.3 s of each other, in any order
		if err := w.launch(p); err != nil {
			return err
		}
		time.Sleep(time.Duration(rand.IntN(300/len(all))) * time.Millisecond)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, f := range w.fronts {
		for !w.ready(f) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not become ready", f.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3500 * time.Millisecond) // all minions are known, and all machines in touch
	w.note("the deployment is ready")
	return nil
}

func (w *world) ready(f *front) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", f.ip, portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes of the world.
func (w *world) close() {
	w.closed.Store(true)
	kill := func(p *process) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
	}
	for _, f := range w.fronts {
		kill(&f.process)
	}
	for _, d := range w.sides {
		kill(&d.process)
		if d.minion != nil {
			_ = d.minion.server.Close()
		}
	}
	w.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// newID returns a new ID of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// step is a step of a job as clients send it.
type step struct {
	Count        int   `json:"count"`
	CPU          int64 `json:"cpu"`
	MemMb        int64 `json:"memMb"`
	EstimateMs   int64 `json:"estimateMs,omitempty"`
	After        []int `json:"after,omitempty"`
	AntiAffinity int   `json:"antiAffinity,omitempty"`
}

type job struct {
	id   string
	body []byte
}

// newJob makes a job whose tasks all work for the same time.
func (w *world) newJob(work time.Duration, steps ...step) job {
	j := job{id: newID()}
	spec := "spec of " + j.id
	for i := range steps {
		steps[i].EstimateMs = work.Milliseconds()
	}
	j.body, _ = json.Marshal(map[string]any{"spec": spec, "bestEffort": true, "steps": steps})
	w.mu.Lock()
	w.shapes[j.id], w.specs[j.id] = shape{cpu: steps[0].CPU, work: work}, spec
	w.mu.Unlock()
	return j
}

// reply is what a client got: a status of 0 means no answer.
type reply struct {
	status int
	body   string
	err    error
	at     time.Time
}

// call sends a request to a front on a channel of its own.
func (w *world) call(ctx context.Context, f *front, method, id string, body []byte, budget time.Duration) reply {
	return w.callAt(ctx, fmt.Sprintf("%s:%d", f.ip, portFront), f.name, method, id, body, budget)
}

func (w *world) callAt(ctx context.Context, address, name, method, id string, body []byte, budget time.Duration) reply {
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+prefix+id, bytes.NewReader(body))
	if err != nil {
		return reply{err: err, at: time.Now()}
	}
	r.Host = hostName
	r.Header.Set("Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	w.note("send   %s %s to %s, time budget %v", method, id, name, budget)
	response, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		w.note("answer %s %s from %s: none (%v)", method, id, name, err)
		return reply{err: err, at: time.Now()}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	text := strings.TrimSpace(string(raw))
	w.note("answer %s %s from %s: %d %s", method, id, name, response.StatusCode, text)
	return reply{status: response.StatusCode, body: text, err: err, at: time.Now()}
}

// write writes the record.
func (w *world) write(path string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := append([]string(nil), w.lines...)
	sort.SliceStable(lines, func(a, b int) bool { return lines[a][:9] < lines[b][:9] })
	return os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// startsOf returns the starts of a job's tasks since a time.
func (w *world) startsOf(id string, since time.Time) []startEvent {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []startEvent
	for _, s := range w.starts {
		if jobOf(s.task) == id && s.at.After(since) {
			found = append(found, s)
		}
	}
	return found
}
