package telemetry

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// gatedWriter blocks until it is opened.
// lineRoom is more than the writes of a test.
const lineRoom = 1 << 16

type gatedWriter struct {
	// entered gets an element with each write, before it waits for the gate.
	entered chan struct{}
	gate    chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *gatedWriter) Write(p []byte) (int, error) {
	w.entered <- struct{}{}
	<-w.gate
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestAsyncWriterNeverBlocks guards against a process that stops because its log is not read, and against lines that are
// lost without a trace.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &gatedWriter{gate: make(chan struct{}), entered: make(chan struct{}, lineRoom)}
	w := NewAsyncWriter(out)
	const lines = asyncLines + 5000
	_, err := fmt.Fprintln(w, "line first")
	require.NoError(t, err)
	<-out.entered // else the goroutine may report the dropped lines before it blocks
	for i := range lines - 1 {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
	}
	dropped := w.Dropped()
	require.Positive(t, dropped)
	close(out.gate)
	w.Close()
	text := out.text.String()
	require.Equal(t, lines-int(dropped), strings.Count(text, "line "), "lines that were not dropped are written")
	require.Contains(t, text, fmt.Sprintf("count=%d", dropped))
}

// TestAsyncWriterAfterClose guards against a panic at the end of a process: goroutines that outlive the planned stop may
// still log.
func TestAsyncWriterAfterClose(t *testing.T) {
	var out strings.Builder
	w := NewAsyncWriter(&out)
	_, err := w.Write([]byte("before\n"))
	require.NoError(t, err)
	w.Close()
	_, err = w.Write([]byte("after\n"))
	require.NoError(t, err)
	require.Equal(t, "before\n", out.String())
	require.EqualValues(t, 1, w.Dropped())
}
