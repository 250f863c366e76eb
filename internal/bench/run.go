package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"rosedrift.example/rosedrift/internal/standin"
	"rosedrift.example/rosedrift/internal/structs"
)

// Config describes a run.
type Config struct {
	Scenario Scenario
	Profile  Profile
	Policy   string
	Seed     uint64
	Duration time.Duration
	// Dir receives programs and logs; empty means a new temporary directory.
	Dir string
	// TaskRate, if above 0, replaces the utilization of the scenario's load by a number of tasks per second.
	TaskRate float64
	// CPUProfiles writes CPU profiles of the bench, the gateways and some agents into Dir.
	CPUProfiles bool
}

// drainLimit is how long a run waits for answers after the last arrival.
const drainLimit = 6 * time.Minute

// warmUpShare is the share of the duration, at its start, that ratios and rates exclude.
const warmUpShare = 0.15

// Run executes a scenario on real processes and returns its result. An error means that the run itself could not be
// carried out.
func Run(ctx context.Context, config Config) (*Result, error) {
	if config.Dir == "" {
		dir, err := tempDir()
		if err != nil {
			return nil, err
		}
		config.Dir = dir
	}
	if config.Scenario.BypassRelays {
		config.Profile.ZoneDelay, config.Profile.ClientDelay = 0, 0
	}
	ctx, cancel := context.WithTimeout(ctx, config.Duration+drainLimit+time.Minute)
	defer cancel()
	cluster, err := NewCluster(ctx, config)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	return execute(ctx, config, cluster)
}

func execute(ctx context.Context, config Config, cluster *Cluster) (*Result, error) {
	log, err := os.Create(filepath.Join(config.Dir, "script.log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cluster.scriptLog = log
	load := config.Scenario.Load(config.Duration)
	if config.TaskRate > 0 {
		load.TaskRate = config.TaskRate
	}
	jobs := Generate(config.Profile, load, config.Seed)
	scriptCtx, stopScript := context.WithCancel(ctx)
	defer stopScript()
	r := &run{ctx: scriptCtx, cluster: cluster, duration: config.Duration}
	r.rng = rand.New(rand.NewPCG(config.Seed, 0x6661756c74))
	r.observation = observation{
		profile: config.Profile, zoneOut: map[string][]window{}, leaving: map[int][]window{},
		gracefulStops: config.Scenario.GracefulStops, duration: config.Duration,
		measurement: window{from: time.Duration(warmUpShare * float64(config.Duration)), to: config.Duration},
	}
	before := cluster.sample()
	scriptDone := make(chan struct{})
	go r.runScript(config.Scenario.Script, scriptDone)
	atEnd := make(chan resourceSample, 1)
	go func() { atEnd <- cluster.sampleAt(ctx, config.Duration) }()
	profilesDone := make(chan error, 1)
	go func() {
		if !config.CPUProfiles {
			profilesDone <- nil
			return
		}
		profilesDone <- cluster.collectProfiles(ctx, config.Duration)
	}()
	callers := newCallers(config.Profile, cluster.gatewayAddrs())
	callers.runStart, callers.resubmitAll = cluster.runStart, config.Scenario.ResubmitAll
	submissions := callers.run(ctx, jobs)
	<-scriptDone
	stopScript()
	if err := <-profilesDone; err != nil {
		return nil, fmt.Errorf("profiles: %w", err)
	}
	return r.buildResult(config, load, jobs, submissions, before, <-atEnd)
}

func (r *run) runScript(script func(*run), done chan<- struct{}) {
	defer close(done)
	go r.watchRevisions()
	if script != nil {
		script(r)
	}
}

func (r *run) buildResult(
	config Config, load Load, jobs []Job, submissions []submission, before, after resourceSample,
) (*Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := &r.observation
	o.submissions = submissions
	o.starts = r.cluster.starts(jobs)
	o.slotsExceeded = r.cluster.slotsExceeded()
	result := &Result{
		Scenario: config.Scenario.Name, Profile: config.Profile.Name, Policy: config.Policy, Seed: config.Seed,
		Notes: []string{fmt.Sprintf("logs in %s", config.Dir)},
	}
	o.evaluate(result)
	for _, line := range append(o.evidence, o.slowest()...) {
		_, _ = r.cluster.scriptLog.WriteString(line + "\n")
	}
	fillRates(result, before, after)
	o.fillTaskCosts(result, before, after)
	if config.Scenario.BypassRelays {
		result.Notes = append(result.Notes, "messages are not counted: links bypass the relays")
	}
	if load.Utilization < 1 {
		result.Notes = append(result.Notes, "goodput_ratio is bounded by the offered load")
	}
	return result, nil
}

func (c *Cluster) gatewayAddrs() []string {
	var addrs []string
	for _, node := range c.Gateways {
		addrs = append(addrs, node.Addr)
	}
	return addrs
}

// starts collects the start records of all backend server stand-ins and joins them with the jobs' run times.
func (c *Cluster) starts(jobs []Job) []start {
	byID := make(map[string]*Job, len(jobs))
	for i := range jobs {
		key := structs.HashKey(jobs[i].Team, jobs[i].Key)
		pool := structs.PoolOfKey(c.profile.Service, uint16(c.profile.Pools), key)
		byID[structs.JobID{Pool: pool, Key: key}.String()] = &jobs[i]
	}
	var all []start
	for server, node := range c.Agents {
		for _, record := range node.Backend.Starts(0) {
			all = append(all, c.joinStart(server, record, byID))
		}
	}
	return all
}

func (c *Cluster) joinStart(server int, record standin.BackendStart, byID map[string]*Job) start {
	index, err := strconv.Atoi(record.Task)
	if err != nil {
		index = -1
	}
	s := start{server: server, job: record.Job, task: index, at: record.Time.Sub(c.runStart)}
	if job := byID[record.Job]; job != nil && index >= 0 && index < len(job.RunTimes) {
		s.work = job.RunTimes[index]
	}
	return s
}

func (c *Cluster) slotsExceeded() int {
	total := 0
	for _, node := range c.Agents {
		stats := node.Backend.Stats()
		total += int(stats.SlotViolations + stats.ConnectionOverruns)
	}
	return total
}

// resourceSample holds the resource use of the processes and the counts of messages and store calls, all up to one
// moment.
type resourceSample struct {
	at time.Time
	// benchCPU is the processor time of the bench process.
	benchCPU time.Duration
	agents   []usage
	gateways []usage
	store    standin.StoreStats
	messages int64
	wasted   float64
	bytes    int64
}

func (c *Cluster) sampleAt(ctx context.Context, at time.Duration) resourceSample {
	sleepUntil(ctx, c.runStart.Add(at))
	return c.sample()
}

func (c *Cluster) sample() resourceSample {
	s := resourceSample{at: time.Now(), benchCPU: ownCPU()}
	for _, node := range c.Agents {
		s.agents = append(s.agents, node.Usage())
	}
	for _, node := range c.Gateways {
		s.gateways = append(s.gateways, node.Usage())
		s.messages += node.LinkRelay.messages.Load()
		s.bytes += node.LinkRelay.bytes.Load()
		s.wasted += wastedStarts(c.client, node.Addr)
	}
	response, err := c.client.Get(c.storeURL + "/stats")
	if err != nil {
		return s
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&s.store)
	return s
}

// fillRates computes the resource use and the rates of store calls and messages between two samples.
func fillRates(r *Result, before, after resourceSample) {
	seconds := after.at.Sub(before.at).Seconds()
	r.AgentCPUPercent, r.AgentRSSMB = meanUsage(before.agents, after.agents, seconds)
	r.GatewayCPUPercent, r.GatewayRSSMB = meanUsage(before.gateways, after.gateways, seconds)
	writes, reads := 0.0, 0.0
	for kind, count := range after.store.Calls {
		delta := float64(count - before.store.Calls[kind])
		switch kind {
		case "get", "list", "watch":
			reads += delta
		default:
			writes += delta
		}
	}
	r.StoreWritesPerS, r.StoreReadsPerS = writes/seconds, reads/seconds
	switch {
	case r.StartsPerS > 0:
		r.MessagesPerTask = float64(after.messages-before.messages) / (r.StartsPerS * seconds)
		r.WastedMessagesPerTask = max(0, after.wasted-before.wasted) / (r.StartsPerS * seconds)
	case r.JobsOffered == 0:
		r.AgentControlBytesPerS = float64(after.bytes-before.bytes) / seconds / float64(len(after.agents))
	}
}

// fillTaskCosts computes the processor time per started task by role, over the time in which jobs arrive.
func (o *observation) fillTaskCosts(r *Result, before, after resourceSample) {
	started := 0
	for _, s := range o.starts {
		if s.at >= 0 && s.at < o.duration {
			started++
		}
	}
	if started == 0 {
		return
	}
	perTask := func(cpu time.Duration) float64 { return float64(cpu.Microseconds()) / float64(started) }
	r.AgentCPUPerTaskUS = perTask(sumCPU(after.agents) - sumCPU(before.agents))
	r.GatewayCPUPerTaskUS = perTask(sumCPU(after.gateways) - sumCPU(before.gateways))
	r.BenchCPUPerTaskUS = perTask(after.benchCPU - before.benchCPU)
}

func sumCPU(all []usage) time.Duration {
	var sum time.Duration
	for _, u := range all {
		sum += u.cpu
	}
	return sum
}

// meanUsage returns the mean processor time in percent of one core, and the largest resident set, of the processes of a
// role.
func meanUsage(before, after []usage, seconds float64) (cpuPercent, rssMB float64) {
	for i := range after {
		cpuPercent += (after[i].cpu - before[i].cpu).Seconds() / seconds * 100 / float64(len(after))
		rssMB = max(rssMB, after[i].rssMB)
	}
	return cpuPercent, rssMB
}

// InForce reports whether a gateway says that a revision is in force everywhere.
func (c *Cluster) InForce(ctx context.Context, gateway int, revision uint64) bool {
	node := c.Gateways[gateway%len(c.Gateways)]
	url := fmt.Sprintf("http://%s/v1/admin/in-force?revision=%d", node.Addr, revision)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := c.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var status struct {
		InForce bool `json:"in_force"`
	}
	err = json.NewDecoder(response.Body).Decode(&status)
	return err == nil && status.InForce
}
