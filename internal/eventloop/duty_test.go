package eventloop

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLoopFlushes guards against a machine that is not called after its inputs, or not at the time that it asks for.
func TestLoopFlushes(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var l *Loop
	inputs, flushes := 0, make(chan int, 1000)
	l = New(func(time.Duration) { flushes <- inputs }, func() time.Duration { return l.Now() + 20*time.Millisecond })
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	require.Zero(t, <-flushes)
	require.True(t, l.Call(func(time.Duration) { inputs++ }))
	for <-flushes == 0 { // the flush after the input
	}
	require.Equal(t, 1, <-flushes, "the flush at the time of wake")
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	require.False(t, l.Call(func(time.Duration) {}), "a call to an ended loop returns")
}

// TestRunAll guards against a planned stop that ends the duties before it is complete, and against a failure that is taken
// for one.
func TestRunAll(t *testing.T) {
	ctx, order := context.WithCancel(t.Context())
	alive := make(chan struct{})
	duty := func(ctx context.Context) error {
		close(alive)
		<-ctx.Done()
		return ctx.Err()
	}
	stopped := false
	stop := func(run context.Context) { stopped = run.Err() == nil }
	go func() {
		<-alive
		order()
	}()
	require.NoError(t, RunAll(ctx, stop, duty))
	require.True(t, stopped, "the duties go on during the stop")
	failure := errors.New("broken")
	err := RunAll(t.Context(), stop, func(context.Context) error { return failure })
	require.ErrorIs(t, err, failure)
}
