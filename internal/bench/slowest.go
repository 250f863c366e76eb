package bench

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// slowestListed is the number of jobs in the list of the slowest urgent jobs.
const slowestListed = 12

// slowest describes the urgent jobs with the highest ratio of response time to ideal. For each of their tasks it gives
// the time from the job's arrival to the start, the nominal run time and the slowdown of the server.
func (o *observation) slowest() []string {
	type ranked struct {
		ratio float64
		sub   *submission
	}
	var urgent []ranked
	for i := range o.submissions {
		sub := &o.submissions[i]
		if !sub.job.Urgent || sub.attempts < 0 || sub.outcome != structs.OutcomeComplete || sub.start < o.measurement.from {
			continue
		}
		ideal := Ideal(o.profile, sub.job) + 2*o.profile.ClientDelay
		urgent = append(urgent, ranked{float64(sub.end-sub.start) / float64(ideal), sub})
	}
	slices.SortFunc(urgent, func(a, b ranked) int {
		if a.ratio > b.ratio {
			return -1
		}
		return 1
	})
	startsByJob := map[string][]start{}
	for _, s := range o.starts {
		startsByJob[s.job] = append(startsByJob[s.job], s)
	}
	var lines []string
	for _, e := range urgent[:min(slowestListed, len(urgent))] {
		lines = append(lines, fmt.Sprintf("slow urgent job %s: ratio %.2f at %.3f s, response %.3f s, attempts %d, tasks %s",
			e.sub.job.Key, e.ratio, e.sub.start.Seconds(), (e.sub.end-e.sub.start).Seconds(), e.sub.attempts,
			o.describeTasks(e.sub, startsByJob[e.sub.id.String()])))
	}
	return lines
}

func (o *observation) describeTasks(sub *submission, starts []start) string {
	var parts []string
	for _, s := range starts {
		parts = append(parts, fmt.Sprintf("+%dms run %dms x%.1f",
			(s.at-sub.start)/time.Millisecond, s.work/time.Millisecond, o.profile.Slowdown(s.server)))
	}
	return strings.Join(parts, ", ")
}
