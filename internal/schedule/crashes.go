package schedule

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// Parameters of the blame for crashes of servers.
const (
	// crashRetention is how long crashes count. Callers submit a job again within seconds.
	crashRetention = time.Minute
	// simultaneous is the longest time between the reports of crashes of servers that end for one reason, such as the loss of
	// power of a rack. A refused connection shows a crash within 1 to 3 ms.
	simultaneous = 3 * time.Millisecond
	// promptly is the longest time between the crashes of servers under runs of one task that follow each other at once. Deadly
	// tasks that arrive together crash servers in step, which is no loss of power.
	promptly = 200 * time.Millisecond
	// judgmentDelay is how long after a crash all simultaneous ones are known.
	judgmentDelay = 8 * time.Millisecond
	// maxCrashes bounds the crashes that are kept.
	maxCrashes = 2048
	// decisiveAge is the factor by which the runs of one of several jobs must have been younger, at all their crashes, than
	// those of the others. A task that crashes its server does so at about the same age each time.
	decisiveAge = 2
	// ageMargin is added to the ages of the runs that have crashed servers: a crash is found up to 3 ms later, and the agents
	// may be busy.
	ageMargin = 10 * time.Millisecond
	// Two crashes decide if there is no other explanation, decisiveCrashes always do.
	giveUpCrashes   = 2
	decisiveCrashes = 3
)

// taskRef identifies a task across gateways.
type taskRef struct {
	job         string
	step, index int
}

// crash is the crash of one incarnation of a server.
type crash struct {
	server    string
	startTime int64
	at        time.Duration
	runs      []structs.CrashedRun
	// group holds the crashes of other servers at the same time that were not caused by one task after the other.
	group []*crash
	// culprit is the job to blame, empty while it is not known, and culpritTask its task.
	culprit     string
	culpritTask taskRef
	judged      bool
	// apart is set if the server was set apart for queues in quarantine.
	apart bool
}

// crashHistory holds the recent crashes of servers, and decides which jobs are to blame. All gateways get the same reports,
// so that a job that comes back through another gateway is judged alike.
type crashHistory struct {
	crashes []*crash
	byTask  map[taskRef][]*crash
	// byJob counts the crashes by the jobs that had runs there.
	byJob map[string]int
	// guilty holds the jobs to blame, and when that was decided.
	guilty map[string]time.Duration
	// fatalAge is up to which age tasks have crashed servers so far, 0 if it is not known.
	fatalAge time.Duration
}

func newCrashHistory() *crashHistory {
	return &crashHistory{byTask: map[taskRef][]*crash{}, byJob: map[string]int{}, guilty: map[string]time.Duration{}}
}

func refOf(r *structs.CrashedRun) taskRef { return taskRef{job: r.Job, step: r.Step, index: r.Index} }

// record adds a reported crash and returns it, or nil if it is known already. A report without runs withdraws it.
func (h *crashHistory) record(now time.Duration, report *structs.CrashReport) *crash {
	for _, c := range h.crashes {
		if c.server == report.Server && c.startTime == report.StartTime {
			if len(report.Runs) == 0 {
				h.remove(c)
			}
			return nil
		}
	}
	age := max(report.Age, 0)
	if len(report.Runs) == 0 || age > crashRetention {
		return nil
	}
	if len(h.crashes) >= maxCrashes {
		h.remove(h.crashes[0])
	}
	c := &crash{server: report.Server, startTime: report.StartTime, at: now - age, runs: report.Runs}
	for _, jobID := range c.jobs() {
		h.byJob[jobID]++
	}
	for i := range c.runs {
		// A server may have two runs of a task if it is stopping one of them.
		if ref := refOf(&c.runs[i]); !slices.Contains(h.byTask[ref], c) {
			h.byTask[ref] = append(h.byTask[ref], c)
		}
	}
	for _, other := range h.crashes {
		if other.server != c.server && (c.at-other.at).Abs() <= simultaneous && !c.sharesTask(other) {
			c.group, other.group = append(c.group, other), append(other.group, c)
		}
	}
	h.crashes = append(h.crashes, c)
	return c
}

func (h *crashHistory) remove(c *crash) {
	without := func(list []*crash) []*crash { return slices.DeleteFunc(list, func(o *crash) bool { return o == c }) }
	h.crashes = without(h.crashes)
	for i := range c.runs {
		ref := refOf(&c.runs[i])
		if h.byTask[ref] = without(h.byTask[ref]); len(h.byTask[ref]) == 0 {
			delete(h.byTask, ref)
		}
	}
	for _, jobID := range c.jobs() {
		if h.byJob[jobID]--; h.byJob[jobID] <= 0 {
			delete(h.byJob, jobID)
		}
	}
	for _, other := range c.group {
		other.group = without(other.group)
	}
}

// prune removes what is older than crashRetention.
func (h *crashHistory) prune(now time.Duration) {
	for i := 0; i < len(h.crashes); {
		if now-h.crashes[i].at <= crashRetention {
			i++
			continue
		}
		h.remove(h.crashes[i])
	}
	for jobID, at := range h.guilty {
		if now-at > crashRetention {
			delete(h.guilty, jobID)
		}
	}
	if len(h.guilty) == 0 {
		h.fatalAge = 0
	}
}

// jobs returns the jobs with runs in the crash, each once.
func (c *crash) jobs() []string {
	var jobs []string
	for i := range c.runs {
		if !slices.Contains(jobs, c.runs[i].Job) {
			jobs = append(jobs, c.runs[i].Job)
		}
	}
	return jobs
}

// sharesTask reports whether a task had runs in both crashes. It runs on one server at a time, so one crash came after the
// other.
func (c *crash) sharesTask(other *crash) bool {
	return slices.ContainsFunc(c.runs, func(r structs.CrashedRun) bool {
		return slices.ContainsFunc(other.runs, func(o structs.CrashedRun) bool { return refOf(&r) == refOf(&o) })
	})
}

func (c *crash) has(jobID string) bool {
	return slices.ContainsFunc(c.runs, func(r structs.CrashedRun) bool { return r.Job == jobID })
}

// youngest returns the job whose run was started last.
func (c *crash) youngest() string {
	return slices.MinFunc(c.runs, func(a, b structs.CrashedRun) int { return cmp.Compare(a.Age, b.Age) }).Job
}

// alone reports whether only runs of one job were on the server.
func (c *crash) alone() bool { return len(c.jobs()) == 1 }

// counts reports whether a crash counts against a task that had a run there. It does not if another task is to blame, or if other
// servers without runs of the job crashed at the same moment: that points to a loss of power, unless the task promptly had another
// crash.
func (h *crashHistory) counts(c *crash, ref taskRef) bool {
	if c.culprit != "" && c.culpritTask != ref {
		return false
	}
	if !slices.ContainsFunc(c.group, func(other *crash) bool { return !other.has(ref.job) }) {
		return true
	}
	return slices.ContainsFunc(h.byTask[ref], func(o *crash) bool { return o != c && (o.at-c.at).Abs() <= promptly })
}

// under returns the number of crashes that count against a task. Those that its run had survived for too long or for which it had
// just begun do not, until they are too many: other tasks may crash servers later or at once.
func (h *crashHistory) under(ref taskRef) int {
	count, survived := 0, 0
	for _, c := range h.byTask[ref] {
		switch {
		case !h.counts(c, ref):
		case h.tooOld(c, ref), c.tooYoung(ref):
			survived++
		default:
			count++
		}
	}
	if count+survived >= decisiveCrashes {
		return count + survived
	}
	return count
}

// tooOld reports whether the run of a task was older at a crash than any that has crashed a server, while another was not.
func (h *crashHistory) tooOld(c *crash, ref taskRef) bool {
	if h.fatalAge == 0 {
		return false
	}
	old, younger := false, false
	for i := range c.runs {
		young := c.runs[i].Age <= h.fatalAge
		if refOf(&c.runs[i]) == ref {
			old = old || !young
		} else {
			younger = younger || young
		}
	}
	return old && younger
}

// judged reports whether all crashes under a task were judged.
func (h *crashHistory) judged(ref taskRef) bool {
	return !slices.ContainsFunc(h.byTask[ref], func(c *crash) bool { return !c.judged })
}

// judge decides about the crashes that are old enough for all simultaneous ones to be known, and returns the jobs that are
// found to blame. Each job that is found may leave only one explanation for other crashes, so these are judged again.
func (h *crashHistory) judge(now time.Duration) []string {
	var found []string
	for again := false; ; again = true {
		count := len(found)
		for _, c := range h.crashes {
			if (c.judged && !again) || !h.ripe(c, now) {
				continue
			}
			c.judged = true
			if c.culprit != "" {
				continue
			}
			jobID := h.suspect(c)
			if jobID == "" {
				continue
			}
			if !h.isGuilty(jobID) {
				found = append(found, jobID)
				h.guilty[jobID] = now
			}
			h.blame(c, jobID)
		}
		if len(found) == count {
			return found
		}
	}
}

// ripe reports whether all crashes simultaneous with those under the runs of a crash are known.
func (h *crashHistory) ripe(c *crash, now time.Duration) bool {
	return !slices.ContainsFunc(c.runs, func(r structs.CrashedRun) bool {
		return slices.ContainsFunc(h.byTask[refOf(&r)], func(o *crash) bool { return now-o.at < judgmentDelay })
	})
}

// nextJudgment returns when judge must be called next, or 0 if no crash waits for it.
func (h *crashHistory) nextJudgment() time.Duration {
	for _, c := range h.crashes {
		if !c.judged {
			return c.at + judgmentDelay
		}
	}
	return 0
}

// suspect returns the job that a crash proves to be at fault, or "" if several may be. The runs beside a task that crashes its
// server are usually in no other crash: if just one job has a task with several crashes, it is to blame. Of several, it is one that
// once was alone on a server or has very many crashes, the one with the youngest runs first, or else one whose runs were by far the
// youngest. Without such a proof, a job whose runs were of very different ages is not blamed. If there is none, their tasks are started apart, and the next crash decides. A job that other crashes have proved to be
// at fault is blamed only if there is no other explanation: it may have healthy tasks.
func (h *crashHistory) suspect(c *crash) string {
	var repeated, proven []string
	for _, jobID := range c.jobs() {
		most, alone := 0, false
		for i := range c.runs {
			if c.runs[i].Job != jobID {
				continue
			}
			ref := refOf(&c.runs[i])
			most = max(most, h.under(ref))
			alone = alone || slices.ContainsFunc(h.byTask[ref], func(o *crash) bool { return o.alone() && h.counts(o, ref) })
		}
		if most >= giveUpCrashes {
			repeated = append(repeated, jobID)
			if alone || most >= decisiveCrashes {
				proven = append(proven, jobID)
			}
		}
	}
	if others := slices.DeleteFunc(slices.Clone(repeated), h.isGuilty); len(others) > 0 {
		repeated, proven = others, slices.DeleteFunc(proven, h.isGuilty)
	}
	byAge := func(a, b string) int { return cmp.Compare(h.oldestRun(a), h.oldestRun(b)) }
	repeated = slices.DeleteFunc(repeated, func(jobID string) bool { return !h.similarAges(c, jobID) })
	slices.SortFunc(repeated, byAge)
	switch {
	case len(proven) > 0:
		return slices.MinFunc(proven, byAge)
	case len(repeated) == 1, len(repeated) > 1 && decisiveAge*h.oldestRun(repeated[0]) <= h.oldestRun(repeated[1]):
		return repeated[0]
	}
	return ""
}

func (h *crashHistory) isGuilty(jobID string) bool {
	_, guilty := h.guilty[jobID]
	return guilty
}

// oldestRun returns the highest age of a job's runs at the crashes under its tasks with several crashes.
func (h *crashHistory) oldestRun(jobID string) time.Duration {
	oldest := time.Duration(0)
	for _, c := range h.crashes {
		for i := range c.runs {
			if r := &c.runs[i]; r.Job == jobID && h.counts(c, refOf(r)) && h.under(refOf(r)) >= giveUpCrashes {
				oldest = max(oldest, r.Age)
			}
		}
	}
	return oldest
}

// blame records a job as the cause of the crashes that its tasks with several crashes in a crash were in. Crashes under its other
// tasks may have another cause.
func (h *crashHistory) blame(c *crash, jobID string) {
	h.fatalAge = max(h.fatalAge, decisiveAge*h.oldestRun(jobID)+ageMargin)
	var refs []taskRef
	for i := range c.runs {
		if ref := refOf(&c.runs[i]); ref.job == jobID && h.under(ref) >= giveUpCrashes {
			refs = append(refs, ref)
		}
	}
	for _, ref := range refs {
		for _, other := range h.byTask[ref] {
			if h.counts(other, ref) {
				other.culprit, other.culpritTask = jobID, ref
			}
		}
	}
}

// evidence names the servers whose crashes a job is to blame for, for the log.
func (h *crashHistory) evidence(jobID string) string {
	var servers []string
	for _, c := range h.crashes {
		if c.culprit == jobID {
			servers = append(servers, c.server)
		}
	}
	return strings.Join(servers, ", ")
}

// HandleCrashReport handles an agent's report that its server has crashed.
func (s *Scheduler) HandleCrashReport(now time.Duration, id structs.AgentID, in *structs.CrashReport) {
	s.advance(now)
	c := s.crashes.record(s.now, in)
	if c == nil {
		return
	}
	c.apart = s.isApart(id)
	s.log(LogEntry{Message: "server crash reported", Agent: id, Server: in.Server, Detail: "jobs " + strings.Join(c.jobs(), ", ")})
	for _, jobID := range c.jobs() {
		if j := s.jobs[jobID]; j != nil {
			j.mayHaveRun = true
		}
	}
	s.prolongQuarantines(c)
}

// judgeCrashes ends the jobs that are to blame for crashes.
func (s *Scheduler) judgeCrashes() {
	s.crashes.prune(s.now)
	found := slices.DeleteFunc(s.crashes.judge(s.now), s.acquit)
	s.updateQuarantines(found)
	for _, jobID := range found {
		if j := s.jobs[jobID]; j != nil && !j.ended {
			s.giveUp(j)
		}
	}
}

// acquit withdraws the blame from a job that is in too few crashes without those of servers that are set apart for other queues.
func (s *Scheduler) acquit(jobID string) bool {
	j := s.jobs[jobID]
	if j == nil || s.inQuarantine(j.route.Name) {
		return false
	}
	own := 0
	for _, c := range s.crashes.crashes {
		if c.culprit == jobID && !c.apart {
			own++
		}
	}
	if own >= giveUpCrashes {
		return false
	}
	delete(s.crashes.guilty, jobID)
	for _, c := range s.crashes.crashes {
		if c.culprit == jobID {
			c.culprit, c.culpritTask = "", taskRef{}
		}
	}
	return true
}

// giveUp ends a job whose task crashes the servers that run it.
func (s *Scheduler) giveUp(j *job) {
	s.log(LogEntry{Message: MessageGivenUp, Job: j.spec.ID, Detail: j.route.Name + " crashed " + s.crashes.evidence(j.spec.ID)})
	s.end(j, OutcomeFailed, ReasonCrashes, 0)
}

func (t *task) ref() taskRef { return taskRef{job: t.job.spec.ID, step: t.step, index: t.index} }

// crashesUnder returns the number of crashes that count against a task.
func (s *Scheduler) crashesUnder(t *task) int {
	if len(s.crashes.crashes) == 0 {
		return 0
	}
	return s.crashes.under(t.ref())
}

// hasRepeatedCrashes reports whether several servers have crashed under a task of a job.
func (s *Scheduler) hasRepeatedCrashes(j *job) bool {
	if s.crashes.byJob[j.spec.ID] < giveUpCrashes {
		return false
	}
	return slices.ContainsFunc(j.steps, func(st *step) bool {
		return slices.ContainsFunc(st.tasks, func(t *task) bool { return s.crashesUnder(t) >= giveUpCrashes })
	})
}
