package telemetry

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxTestWrites is larger than the number of writes of a test.
const maxTestWrites = 1 << 16

// gatedWriter is an io.Writer whose writes block until gate is closed.
type gatedWriter struct {
	// entered receives a value at the start of each write, before it waits for the gate.
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

// TestAsyncWriterNeverBlocks guards against a process that blocks because its log is not read, and against dropped
// lines that are not counted.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &gatedWriter{gate: make(chan struct{}), entered: make(chan struct{}, maxTestWrites)}
	w := NewAsyncWriter(out)
	const lines = asyncQueueLines + 5000
	_, err := fmt.Fprintln(w, "line first")
	require.NoError(t, err)
	<-out.entered // otherwise the goroutine could report the dropped lines before it blocks
	for i := range lines - 1 {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
	}
	dropped := w.Dropped()
	require.Positive(t, dropped)
	close(out.gate)
	w.Close()
	text := out.text.String()
	require.Equal(t, lines-int(dropped), strings.Count(text, "line "), "all lines that were not dropped must be written")
	require.Contains(t, text, fmt.Sprintf("count=%d", dropped))
}

// TestAsyncWriterAfterClose guards against a panic at the end of a process, when goroutines that outlive the graceful
// shutdown still log.
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
