// Package duty runs the duties of a process, among them a state machine in one goroutine: inputs arrive through a bounded ring, and the machine is flushed
// after each batch of inputs and at the time that it asks for.
package eventloop

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// ringLength bounds the inputs that wait. A full ring slows the senders down, which are links and callers' requests.
const ringLength = 4096

// RunAll runs duties until one fails or ctx ends. At the end of ctx it calls stop, which carries out a planned stop while
// the duties go on, and ends them afterwards. A planned stop is no error.
func RunAll(ctx context.Context, stop func(context.Context), duties ...func(context.Context) error) error {
	run, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, run := errgroup.WithContext(run)
	for _, duty := range duties {
		group.Go(func() error { return duty(run) })
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

// batchLength bounds the inputs that are taken before a flush.
const batchLength = 256

// Loop is the goroutine of one state machine.
type Loop struct {
	started time.Duration
	inputs  chan func(now time.Duration)
	done    chan struct{}
	flush   func(now time.Duration)
	wake    func() time.Duration
}

// New returns a loop. flush is called after each batch of inputs and when the time that wake returns has come. Both are
// called in the loop's goroutine, like all inputs.
func New(flush func(now time.Duration), wake func() time.Duration) *Loop {
	return &Loop{
		started: sinceBoot(), inputs: make(chan func(time.Duration), ringLength), done: make(chan struct{}),
		flush: flush, wake: wake,
	}
}

// Now returns the time since New, which the machine uses. It counts the time during which the VM was suspended, unlike
// Go's monotonic clock: a machine must see that its process was frozen. It does not follow changes of the time of day.
func (l *Loop) Now() time.Duration { return sinceBoot() - l.started }

// sinceBoot returns the time since the VM's boot.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("duty: the boot clock cannot be read: " + err.Error()) // it cannot fail on Linux
	}
	return time.Duration(t.Nano())
}

// Post queues an input. It is lost if the loop has ended.
func (l *Loop) Post(input func(now time.Duration)) {
	select {
	case l.inputs <- input:
	case <-l.done:
	}
}

// Call runs an input and waits for its end. It returns false if the loop has ended before.
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

// Run serves until the context ends.
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
