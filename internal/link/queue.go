package link

import (
	"time"

	"rosedrift.example/rosedrift/internal/structs"
)

// ringBuffer is a FIFO queue of envelopes that grows up to QueueLength and QueueBytes.
type ringBuffer struct {
	items []structs.Envelope
	head  int
	count int
	bytes int
}

// push adds an envelope. ok is false if the buffer is full. An empty buffer accepts an envelope of any size, so that
// one larger than QueueBytes can be sent.
func (r *ringBuffer) push(e structs.Envelope) (ok bool) {
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

func (r *ringBuffer) grow() {
	const firstLength = 16
	items := make([]structs.Envelope, max(firstLength, 2*len(r.items)))
	n := copy(items, r.items[r.head:])
	copy(items[n:], r.items[:r.head])
	r.items, r.head = items, 0
}

func (r *ringBuffer) pop() structs.Envelope {
	e := r.items[r.head]
	r.items[r.head] = structs.Envelope{}
	r.head = (r.head + 1) % len(r.items)
	r.count--
	r.bytes -= len(e.Body)
	return e
}

// classQueues has the queue of each class of a link. It is guarded by Link.mu.
type classQueues struct {
	rings [classes]ringBuffer
	// lastBatch is the time at which the last batch was taken.
	lastBatch time.Time
}

func (q *classQueues) empty() bool {
	return q.rings[Control].count+q.rings[Urgent].count+q.rings[Bulk].count == 0
}

// push adds an envelope. ok is false if the queue of the class is full; wake reports whether the writing goroutine must
// be woken.
func (q *classQueues) push(class Class, e structs.Envelope) (ok, wake bool) {
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

// due reports whether a batch must be written now and, if only bulk envelopes wait, for how long more of them may be
// collected. flush disables the collecting. Bulk envelopes are collected only within BatchDelay after another batch: on
// a link with less than one message per BatchDelay a batch would hold a single message anyway, and a timer for each
// message costs a wake-up of the process.
func (q *classQueues) due(flush bool) (now bool, wait time.Duration) {
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
	wait = BatchDelay - time.Since(q.lastBatch)
	return wait <= 0, wait
}

// take removes envelopes in the order of the classes and appends them to batch, up to BatchBytes. It takes at least one
// envelope, so that one larger than BatchBytes is sent alone.
func (q *classQueues) take(batch []structs.Envelope) []structs.Envelope {
	size := 0
	q.lastBatch = time.Now()
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
