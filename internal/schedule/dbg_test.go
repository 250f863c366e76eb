package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"rosedrift.example/rosedrift/internal/schedule"
)

func TestDbgChains(t *testing.T) {
	l := newLoad(t)
	chains := func(d time.Duration, perSecond float64) {
		for end := l.w.now + d; l.w.now < end; l.w.advance(worldTick) {
			if l.random.Float64() < perSecond/1000 {
				l.chain(3, 4, 60*time.Millisecond)
			}
		}
	}
	chains(time.Second, 20)
	from := l.w.now
	chains(3*time.Second, 66)
	to := l.w.now
	l.w.advance(3 * time.Second)
	n := 0
	for id, began := range l.began {
		if began < from || began >= to || l.w.answers[id][0].Outcome != schedule.OutcomeCompleted {
			continue
		}
		s := ""
		prev := began
		for st := range 3 {
			first, last, end := time.Hour, time.Duration(0), time.Duration(0)
			for i := range 4 {
				r := l.w.history[taskName(id, st, i)]
				first = min(first, r.began)
				last = max(last, r.began)
				end = max(end, r.ended)
			}
			s += fmt.Sprintf(" [wait %v..%v run %v]", (first - prev).Milliseconds(), (last - prev).Milliseconds(), (end - last).Milliseconds())
			prev = end
		}
		obj := time.Duration(1.6*3*float64(l.work[id])) + 60*time.Millisecond
		fmt.Println(id, "took", (l.w.answeredAt[id] - began).Milliseconds(), "obj", obj.Milliseconds(), "facts obj", l.w.answers[id][0].Facts.Objective.Milliseconds(), s)
		if n++; n > 40 {
			break
		}
	}
}
