// Package eventloop runs the workers of a process (RunAll) and the event loop of a state machine (Loop). The loop is
// one goroutine that takes inputs from a bounded queue and calls the machine's flush function after each batch of
// inputs and whenever the machine's timer is due.
package eventloop

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// queueLength is the capacity of the input queue. While it is full, its senders block: the links and the callers'
// requests.
const queueLength = 4096

// RunAll runs the workers until one of them fails or ctx ends. When ctx ends, it calls stop, which performs the
// graceful shutdown while the workers keep running, and cancels the workers after stop has returned. It returns the
// error of a worker that has failed, and nil after a graceful shutdown.
func RunAll(ctx context.Context, stop func(context.Context), workers ...func(context.Context) error) error {
	run, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, run := errgroup.WithContext(run)
	for _, worker := range workers {
		group.Go(func() error { return worker(run) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			stop(run)
			end()
		case <-run.Done():
		}
		return nil
	})
	if err := group.Wait(); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// batchLength bounds the queued inputs that drain handles before the next flush.
const batchLength = 256

// Loop is the event loop of one state machine.
type Loop struct {
	started time.Duration
	inputs  chan func(now time.Duration)
	done    chan struct{}
	flush   func(now time.Duration)
	wake    func() time.Duration
}

// New returns a loop that starts with Run. It calls flush after each batch of inputs and when Now reaches the time
// that wake returned last. Inputs, flush and wake all run in the loop's goroutine.
func New(flush func(now time.Duration), wake func() time.Duration) *Loop {
	return &Loop{
		started: sinceBoot(), inputs: make(chan func(time.Duration), queueLength), done: make(chan struct{}),
		flush: flush, wake: wake,
	}
}

// Now returns the time since New, which is the machine's clock. Unlike Go's monotonic clock it includes time during
// which the VM was suspended, so that the machine notices a suspension. Changes of the wall clock do not affect it.
func (l *Loop) Now() time.Duration { return sinceBoot() - l.started }

// sinceBoot returns the time since the VM booted, including time in suspension.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("eventloop: reading CLOCK_BOOTTIME: " + err.Error()) // CLOCK_BOOTTIME exists on every supported Linux
	}
	return time.Duration(t.Nano())
}

// Post queues an input and returns without waiting for it to run. It blocks while the queue is full, and drops the
// input if the loop has ended.
func (l *Loop) Post(input func(now time.Duration)) {
	select {
	case l.inputs <- input:
	case <-l.done:
	}
}

// Call queues an input and waits until it has run. It returns false if the loop ends first.
func (l *Loop) Call(input func(now time.Duration)) bool {
	ran := make(chan struct{})
	l.Post(func(now time.Duration) {
		input(now)
		close(ran)
	})
	select {
	case <-ran:
		return true
	case <-l.done:
		return false
	}
}

// Run handles inputs until the context ends. A loop can run only once.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case input := <-l.inputs:
			input(l.Now())
			l.drain()
		case <-timer.C:
		}
		l.flush(l.Now())
		timer.Reset(max(l.wake()-l.Now(), 0))
	}
}

// drain handles the inputs that are already queued, up to batchLength.
func (l *Loop) drain() {
	for range batchLength {
		select {
		case input := <-l.inputs:
			input(l.Now())
		default:
			return
		}
	}
}
