// Package telemetry gives a process its logger, its metrics with a text exposition endpoint, and its health state.
package telemetry

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes lines of at least the level (debug, info, warn, error) in the format
// (logfmt, json). An unknown level means info.
func NewLogger(w io.Writer, lowest, format string) log.Logger {
	sync := log.NewSyncWriter(w)
	logger := log.NewLogfmtLogger(sync)
	if format == "json" {
		logger = log.NewJSONLogger(sync)
	}
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(lowest, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}
