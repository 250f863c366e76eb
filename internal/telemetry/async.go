package telemetry

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// asyncQueueLines is the capacity of the queue in lines: about 2 MB at the usual length of a line, and more than a
// second of lines at the highest log rate of a gateway at the design size.
const asyncQueueLines = 8192

// AsyncWriter is an io.Writer that never blocks. It puts lines into a bounded queue, from which one goroutine writes
// them to the output. Lines that do not fit into the queue are dropped; their count is written with the next batch of
// lines.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// closed makes Write drop lines; closing, when it is closed, ends the goroutine. The channel lines stays open,
	// since goroutines that outlive the graceful shutdown of the process may still call Write.
	closed  atomic.Bool
	closing chan struct{}
	done    sync.WaitGroup
	batch   []byte // used only by the goroutine
}

// NewAsyncWriter returns an AsyncWriter to out and starts its goroutine, which Close ends.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, asyncQueueLines), closing: make(chan struct{})}
	w.done.Go(w.run)
	return w
}

// Write implements io.Writer. It copies the line and always succeeds, also if the line is dropped.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if w.closed.Load() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported in the output yet.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and ends the goroutine. Lines that are written afterwards are dropped.
func (w *AsyncWriter) Close() {
	w.closed.Store(true)
	close(w.closing)
	w.done.Wait()
}

func (w *AsyncWriter) run() {
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
		case <-w.closing:
			w.drain()
			return
		}
	}
}

// drain writes the lines that are queued when the writer is closed.
func (w *AsyncWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
		default:
			return
		}
	}
}

// maxBatchBytes is the size from which no further line is added to a batch, so that a steady stream of lines does not
// delay the output.
const maxBatchBytes = 32 << 10

// writeBatch writes a line together with the queued ones, up to maxBatchBytes, since each write costs a system call.
func (w *AsyncWriter) writeBatch(line []byte) {
	w.batch = append(w.batch[:0], line...)
	for more := true; more && len(w.batch) < maxBatchBytes; {
		select {
		case next := <-w.lines:
			w.batch = append(w.batch, next...)
		default:
			more = false
		}
	}
	if n := w.dropped.Swap(0); n > 0 {
		w.batch = append(w.batch, `level=warn msg="log lines dropped" count=`+strconv.FormatInt(n, 10)+"\n"...)
	}
	_, _ = w.out.Write(w.batch) // a failure to write the log cannot be logged
}
