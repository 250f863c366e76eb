package platformgateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"rosedrift.example/rosedrift/internal/schedule"
)

// rackMetrics shows what became of tasks that name the rack of their data.
type rackMetrics struct {
	near, offRack, paid, unpaid tally.Counter
	wait                        tally.Histogram
}

func newRackMetrics(scope tally.Scope) rackMetrics {
	return rackMetrics{
		near: scope.Counter("tasks_near"), offRack: scope.Counter("tasks_off_rack"),
		paid: scope.Counter("near_waits_paid"), unpaid: scope.Counter("near_waits_unpaid"),
		wait: scope.Histogram("near_wait_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)),
	}
}

// record adds what has happened since the last call. It is called after each event, so it touches only what has changed.
func (m *rackMetrics) record(stats schedule.RackStats) {
	add(m.near, stats.Near)
	add(m.offRack, stats.OffRack)
	add(m.paid, stats.WaitsPaid)
	add(m.unpaid, stats.WaitsUnpaid)
	for _, wait := range stats.Waits {
		m.wait.RecordDuration(wait)
	}
}

func add(counter tally.Counter, count int64) {
	if count > 0 {
		counter.Inc(count)
	}
}
