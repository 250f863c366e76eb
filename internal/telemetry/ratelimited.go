package telemetry

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"
)

// RateLimited is a logger for a fault that repeats. It logs at level warn at most once per interval, the first time at
// once, and otherwise at level debug. It is safe for concurrent use.
type RateLimited struct {
	logger    log.Logger
	sometimes rate.Sometimes
}

// NewRateLimited returns a RateLimited that logs to logger.
func NewRateLimited(logger log.Logger, interval time.Duration) *RateLimited {
	return &RateLimited{logger: logger, sometimes: rate.Sometimes{First: 1, Interval: interval}}
}

// Log implements log.Logger. It returns the error of the underlying logger.
func (r *RateLimited) Log(keyvals ...any) error {
	withLevel := level.Debug
	r.sometimes.Do(func() { withLevel = level.Warn })
	return withLevel(r.logger).Log(keyvals...)
}
