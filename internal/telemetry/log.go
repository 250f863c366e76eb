// Package telemetry provides the logger, the metrics with their Prometheus endpoint, the health checks and the
// profiling endpoint of a process.
package telemetry

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes lines with a timestamp to w. lowest is the lowest level that is written
// (debug, info, warn, error; an unknown one means info), format the format of the lines (logfmt or json).
func NewLogger(w io.Writer, lowest, format string) log.Logger {
	sync := log.NewSyncWriter(w)
	logger := log.NewLogfmtLogger(sync)
	if format == "json" {
		logger = log.NewJSONLogger(sync)
	}
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(lowest, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}
