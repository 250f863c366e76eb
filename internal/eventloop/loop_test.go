package eventloop

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLoopFlushes guards against a loop that does not call flush after an input, or not at the time that wake returns.
func TestLoopFlushes(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var l *Loop
	inputs, flushes := 0, make(chan int, 1000)
	l = New(func(time.Duration) { flushes <- inputs }, func() time.Duration { return l.Now() + 20*time.Millisecond })
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	require.Zero(t, <-flushes)
	require.True(t, l.Call(func(time.Duration) { inputs++ }))
	for <-flushes == 0 { // until the flush after the input
	}
	require.Equal(t, 1, <-flushes, "no flush at the time of wake")
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	require.False(t, l.Call(func(time.Duration) {}), "Call on an ended loop reports success")
}

// TestRunAll guards against workers that are cancelled before a graceful shutdown is complete, and against a failed
// worker that is taken for a graceful shutdown, so that its error is lost.
func TestRunAll(t *testing.T) {
	ctx, shutDown := context.WithCancel(t.Context())
	alive := make(chan struct{})
	worker := func(ctx context.Context) error {
		close(alive)
		<-ctx.Done()
		return ctx.Err()
	}
	stopped := false
	stop := func(run context.Context) { stopped = run.Err() == nil }
	go func() {
		<-alive
		shutDown()
	}()
	require.NoError(t, RunAll(ctx, stop, worker))
	require.True(t, stopped, "the workers were cancelled before the shutdown was complete")
	failure := errors.New("broken")
	err := RunAll(t.Context(), stop, func(context.Context) error { return failure })
	require.ErrorIs(t, err, failure)
}
