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

// slowest describes the urgent jobs with the highest ratio of response to ideal: for each task the time from the
// job's arrival to the start, the nominal run time and the slowdown of the server.
func (o *observation) slowest() []string {
	type entry struct {
		ratio float64
		v     *verdict
	}
	var urgent []entry
	for i := range o.verdicts {
		v := &o.verdicts[i]
		if !v.job.Urgent || v.attempts < 0 || v.outcome != structs.OutcomeComplete || v.start < o.measured.from {
			continue
		}
		ideal := Ideal(o.profile, v.job) + 2*o.profile.ClientDelay
		urgent = append(urgent, entry{float64(v.end-v.start) / float64(ideal), v})
	}
	slices.SortFunc(urgent, func(a, b entry) int {
		if a.ratio > b.ratio {
			return -1
		}
		return 1
	})
	startsOf := map[string][]start{}
	for _, s := range o.starts {
		startsOf[s.job] = append(startsOf[s.job], s)
	}
	var lines []string
	for _, e := range urgent[:min(slowestListed, len(urgent))] {
		lines = append(lines, fmt.Sprintf("slow urgent job %s: ratio %.2f at %.3f s, response %.3f s, attempts %d, tasks %s",
			e.v.job.Key, e.ratio, e.v.start.Seconds(), (e.v.end-e.v.start).Seconds(), e.v.attempts,
			o.describeTasks(e.v, startsOf[e.v.id.String()])))
	}
	return lines
}

func (o *observation) describeTasks(v *verdict, starts []start) string {
	var words []string
	for _, s := range starts {
		words = append(words, fmt.Sprintf("+%dms run %dms x%.1f",
			(s.at-v.start)/time.Millisecond, s.work/time.Millisecond, o.profile.Slowdown(s.server)))
	}
	return strings.Join(words, ", ")
}
