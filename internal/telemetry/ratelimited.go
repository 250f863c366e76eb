package telemetry

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"
)

// RateLimited logs a fault that repeats: at level warn at first and then at most once per interval, in between at level
// debug. It is safe for concurrent use.
type RateLimited struct {
	logger    log.Logger
	sometimes rate.Sometimes
}

// NewRateLimited returns a Bounded that writes to logger.
func NewRateLimited(logger log.Logger, interval time.Duration) *RateLimited {
	return &RateLimited{logger: logger, sometimes: rate.Sometimes{First: 1, Interval: interval}}
}

// Log implements log.Logger. The error is that of the logger.
func (b *RateLimited) Log(keyvals ...any) error {
	leveled := level.Debug
	b.sometimes.Do(func() { leveled = level.Warn })
	return leveled(b.logger).Log(keyvals...)
}
