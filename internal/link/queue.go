package link

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// ring is a growing FIFO of envelopes, bounded by QueueLength and QueueBytes.
type ring struct {
	items []structs.Envelope
	head  int
	count int
	bytes int
}

// push adds an envelope. ok is false if the ring is full. A single envelope above QueueBytes fits an empty ring.
func (r *ring) push(e structs.Envelope) (ok bool) {
	if r.count >= QueueLength {
		return false
	}
	if r.count > 0 && r.bytes+len(e.Body) > QueueBytes {
		return false
	}
	if r.count == len(r.items) {
		r.grow()
	}
	r.items[(r.head+r.count)%len(r.items)] = e
	r.count++
	r.bytes += len(e.Body)
	return true
}

func (r *ring) grow() {
	const firstLength = 16
	items := make([]structs.Envelope, max(firstLength, 2*len(r.items)))
	n := copy(items, r.items[r.head:])
	copy(items[n:], r.items[:r.head])
	r.items, r.head = items, 0
}

func (r *ring) pop() structs.Envelope {
	e := r.items[r.head]
	r.items[r.head] = structs.Envelope{}
	r.head = (r.head + 1) % len(r.items)
	r.count--
	r.bytes -= len(e.Body)
	return e
}

// queues holds the waiting envelopes of a link by class. It is guarded by Link.mu.
type queues struct {
	rings [classes]ring
	// taken is when the last batch was taken.
	taken time.Time
}

func (q *queues) empty() bool {
	return q.rings[Control].count+q.rings[Urgent].count+q.rings[Bulk].count == 0
}

// push adds an envelope and reports whether there was room and whether the writer must look at the queue now.
func (q *queues) push(class Class, e structs.Envelope) (ok, wake bool) {
	bulk := &q.rings[Bulk]
	first := bulk.count == 0
	if !q.rings[class].push(e) {
		return false, false
	}
	if class != Bulk {
		return true, true
	}
	return true, first || bulk.bytes >= BatchBytes
}

// due reports whether a batch must be written now and, if only bulk waits, how long it may still collect. Bulk collects
// only after another batch: on a link with less than one message per BatchDelay it would gain nothing, and a timer
// for each message costs a wake-up of the process.
func (q *queues) due(flush bool) (now bool, wait time.Duration) {
	if q.rings[Control].count+q.rings[Urgent].count > 0 {
		return true, 0
	}
	bulk := &q.rings[Bulk]
	if bulk.count == 0 {
		return false, 0
	}
	if flush || bulk.bytes >= BatchBytes {
		return true, 0
	}
	wait = BatchDelay - time.Since(q.taken)
	return wait <= 0, wait
}

// take moves up to BatchBytes of envelopes, in the order of the classes, to batch. One envelope is always taken, so
// that a larger one passes alone.
func (q *queues) take(batch []structs.Envelope) []structs.Envelope {
	size := 0
	q.taken = time.Now()
	for class := range q.rings {
		ring := &q.rings[class]
		for ring.count > 0 {
			next := len(ring.items[ring.head].Body) + envelopeOverhead
			if size > 0 && size+next > BatchBytes {
				return batch
			}
			size += next
			batch = append(batch, ring.pop())
		}
	}
	return batch
}
