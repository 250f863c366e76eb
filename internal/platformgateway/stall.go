package platformgateway

import (
	"context"
	"sync"
	"time"
)

const (
	// stallInterval is the time between two readings of the clocks.
	stallInterval = 50 * time.Millisecond
	// minStall is the shortest stall that counts. Processes whose processor time is limited regularly do not run for
	// the rest of a period of 100 ms, and timers fire late.
	minStall = 150 * time.Millisecond
	// backlogTime is how long after a stall a request may still be one that arrived during the stall.
	backlogTime = 200 * time.Millisecond
)

// clockReading holds a time by two clocks.
type clockReading struct {
	// boot includes time in suspension, running does not.
	boot, running time.Duration
}

// stallDetector notices stalls: times in which the process did not run. It is safe for concurrent use.
type stallDetector struct {
	mu sync.Mutex
	// last is the last reading. It is the zero reading before the first.
	last clockReading
	// stall and suspended are the length of the last stall and the time in suspension during it. It was noticed at
	// noticed, and is void if stall is 0.
	stall, suspended, noticed time.Duration
}

// read records a reading of the clocks. It is called every stallInterval.
func (d *stallDetector) read(at clockReading) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stall, suspended := d.current(at); stall > 0 {
		d.stall, d.suspended, d.noticed = stall, suspended, at.boot
	}
	d.last = at
}

// unread returns how long a request that is read at a time may have waited unread because of a stall, and how much
// of it was in suspension. Both are 0 if there was no stall lately.
func (d *stallDetector) unread(at clockReading) (wait, suspended time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stall, suspended := d.current(at); stall > 0 {
		return stall, suspended
	}
	if d.stall == 0 || at.boot-d.noticed >= backlogTime {
		return 0, 0
	}
	return d.stall + at.boot - d.noticed, d.suspended
}

// current returns the stall since the last reading, or 0 if there is none. It includes an earlier stall whose backlog may
// not have been read before it began.
func (d *stallDetector) current(at clockReading) (stall, suspended time.Duration) {
	if d.last == (clockReading{}) {
		return 0, 0
	}
	stall = at.boot - d.last.boot - stallInterval
	if stall < minStall {
		return 0, 0
	}
	// The clocks are read one after the other, so that short differences say nothing.
	if suspended = at.boot - d.last.boot - (at.running - d.last.running); suspended < minStall {
		suspended = 0
	}
	if since := d.last.boot - d.noticed; d.stall > 0 && since < backlogTime {
		return at.boot - d.noticed + d.stall, suspended + d.suspended
	}
	return stall, suspended
}

// run records readings of the clocks until ctx ends.
func (d *stallDetector) run(ctx context.Context, clocks func() clockReading) error {
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	for {
		d.read(clocks())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
