package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rosedrift.example/rosedrift/internal/structs"
)

// suspicionTime is how long after its last crash a task with several crashes counts as running. Tasks take less than a second, so
// its run has ended then.
const suspicionTime = time.Second

// separation restricts the servers of a task under which servers have crashed, so that the next crash tells which of the tasks in
// the earlier ones is to blame.
type separation struct {
	task *task
	// under is the number of crashes that count against the task.
	under int
	// own holds the servers that only this job's tasks get among those with several crashes, nil if there is no restriction.
	own map[*server]bool
}

// separationOf returns the restrictions of a task, or nil if no crash requires any.
func (s *Scheduler) separationOf(t *task) *separation {
	if len(s.crashes.crashes) == 0 {
		return nil
	}
	ref := t.ref()
	under := s.crashes.under(ref)
	if under == 0 && !slices.ContainsFunc(s.crashes.byTask[ref], func(c *crash) bool { return c.unexplained(s.now) }) {
		return nil
	}
	sep := &separation{task: t, under: under}
	if under >= giveUpCrashes && !s.placedAlone(t) {
		sep.own = s.ownServers(t)
	}
	return sep
}

// apart reports whether a server has no other job's task under which a server has crashed, or that was in one of the crashes under
// the task. If two such tasks are on one server, another crash does not tell which is to blame.
func (s *Scheduler) apart(srv *server, sep *separation) bool {
	if sep.own != nil && !sep.own[srv] {
		return false
	}
	for _, other := range srv.tasks {
		if other.job == sep.task.job {
			continue
		}
		if (sep.under > 0 && s.crashesUnder(other) > 0) || s.crashes.together(s.now, sep.task.ref(), other.ref()) {
			return false
		}
	}
	return true
}

// unexplained reports whether a crash happened just now and no job is to blame for it. Two deadly tasks that crash servers at the
// same moment look like a loss of power until the next crash, so their neighbours must be kept apart from them even if the crash
// does not count.
func (c *crash) unexplained(now time.Duration) bool { return c.culprit == "" && now-c.at <= promptly }

// together reports whether two tasks had runs in the same unexplained crash.
func (h *crashHistory) together(now time.Duration, a, b taskRef) bool {
	return slices.ContainsFunc(h.byTask[a], func(c *crash) bool { return c.unexplained(now) && slices.Contains(h.byTask[b], c) })
}

// ownServers returns the servers for a task with several crashes if there are other jobs with such tasks, also at other gateways.
// The servers are divided between these jobs. All gateways know the same crashes, so they divide alike without a message. The
// result is nil if there is no other such job, or if no server that may run the task falls to its job.
func (s *Scheduler) ownServers(t *task) map[*server]bool {
	suspects := s.crashes.repeatedJobs(s.now)
	at := slices.Index(suspects, t.job.spec.ID)
	if at < 0 || len(suspects) < 2 {
		return nil
	}
	var own map[*server]bool
	st, position := t.job.steps[t.step], 0
	for _, srv := range rankServers(s.sortedServers) {
		if srv.report.Service != t.job.route.Service || !s.usable(srv) {
			continue
		}
		if position%len(suspects) == at && s.admits(srv, st) && !s.separates(srv, t.job, st, t) {
			if own == nil {
				own = map[*server]bool{}
			}
			own[srv] = true
		}
		position++
	}
	return own
}

// repeatedJobs returns the jobs that may be to blame since a task of theirs has had several crashes lately, in an order that is the
// same at all gateways and independent of the times of the crashes.
func (h *crashHistory) repeatedJobs(now time.Duration) []string {
	var jobs []string
	for ref, crashes := range h.byTask {
		if len(crashes) < giveUpCrashes || h.isGuilty(ref.job) || h.under(ref) < giveUpCrashes {
			continue
		}
		if now-crashes[len(crashes)-1].at <= suspicionTime {
			jobs = append(jobs, ref.job)
		}
	}
	slices.SortFunc(jobs, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return slices.Compact(jobs)
}

// tooYoung reports whether the run of a task was so young at a crash that it may have been sent to a server that had crashed
// already, while older runs of other jobs were there. Tasks that were lost in one crash meet the next one in this way.
func (c *crash) tooYoung(ref taskRef) bool {
	young, others := false, false
	for i := range c.runs {
		r := &c.runs[i]
		if refOf(r) == ref {
			young = young || r.Age <= simultaneous
		} else {
			others = others || (r.Job != ref.job && r.Age > simultaneous)
		}
	}
	return young && others
}

// similarAges reports whether the runs of a job's task with several crashes, one of them c, were of about the same age at each. A run
// that was lost in one crash and started again on a server that another task crashes is usually much younger there.
func (h *crashHistory) similarAges(c *crash, jobID string) bool {
	return slices.ContainsFunc(c.runs, func(in structs.CrashedRun) bool {
		ref := refOf(&in)
		if ref.job != jobID || h.under(ref) < giveUpCrashes {
			return false
		}
		youngest, oldest := crashRetention, time.Duration(0)
		for _, other := range h.byTask[ref] {
			for i := range other.runs {
				if r := &other.runs[i]; refOf(r) == ref && h.counts(other, ref) {
					youngest, oldest = min(youngest, r.Age), max(oldest, r.Age)
				}
			}
		}
		return oldest <= decisiveAge*youngest+ageMargin
	})
}
