package platformagent

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/platform"
)

const (
	// reportReadTries and reportReadDelay let the agent try for about one heartbeat interval to read the last report
	// from a store that is unavailable.
	reportReadTries = 8
	reportReadDelay = 150 * time.Millisecond
	// minReportWriteDelay and maxReportWriteDelay bound the exponential backoff between writes of a report that fail.
	minReportWriteDelay = 200 * time.Millisecond
	maxReportWriteDelay = 3 * time.Second
)

// storedReport has the fields of a report in which a heartbeat must differ to replace it in the store.
type storedReport struct {
	server    string
	startTime int64
	draining  bool
	capacity  structs.Resources
}

func describeReport(heartbeat platform.Heartbeat) storedReport {
	return storedReport{server: heartbeat.ID, startTime: heartbeat.StartTime, draining: heartbeat.Draining, capacity: heartbeat.Capacity}
}

// restoreReport reads the last heartbeat that an earlier agent has written to the store. The agent uses it until the
// first heartbeat arrives, which may take a whole interval. If the server has ended since, calls with its ID fail.
func (c *backendClient) restoreReport(ctx context.Context) {
	for range reportReadTries {
		entry, err := c.agent.links.store.Get(ctx, c.reportKey())
		if store.IsKind(err, store.KindNotFound) || c.hasServer() {
			return
		}
		if err != nil {
			_ = level.Info(c.agent.logger).Log("msg", "reading the last server report failed", "err", err)
			ctxtime.Sleep(ctx, reportReadDelay)
			continue
		}
		report, err := platform.ParseReport(entry.Value)
		if err != nil || report.Address != c.agent.options.Settings.ServerAddress {
			_ = level.Info(c.agent.logger).Log("msg", "last server report ignored", "err", err)
			return
		}
		if !c.hasServer() {
			_ = level.Info(c.agent.logger).Log("msg", "using the last server report", "server", report.ID)
			c.heartbeatReceived(report)
		}
		return
	}
}

// reportKey returns the key of the server report in the store.
func (c *backendClient) reportKey() string {
	return platform.ServerPrefix + c.agent.options.Settings.Name
}

func (c *backendClient) signalReportChanged() {
	select {
	case c.reportChanged <- struct{}{}:
	default:
	}
}

// storeReports keeps the last report of the server in the store, for an agent that starts later. A write that fails, or
// whose answer is lost, is repeated until it succeeds or a newer report replaces it.
func (c *backendClient) storeReports(ctx context.Context) error {
	delay := minReportWriteDelay
	for {
		report, remove := c.unstoredReport()
		var err error
		switch {
		case remove:
			err = c.removeReport(ctx)
		case report != nil:
			err = c.storeReport(ctx, *report)
		default:
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-c.reportChanged:
			}
			continue
		}
		if err == nil {
			delay = minReportWriteDelay
			continue
		}
		_ = level.Info(c.agent.logger).Log("msg", "storing the server report failed", "err", err)
		if !ctxtime.Sleep(ctx, delay) {
			return ctx.Err()
		}
		delay = min(2*delay, maxReportWriteDelay)
	}
}

// unstoredReport returns the report that must be written, and whether the one in the store must be removed.
func (c *backendClient) unstoredReport() (report *platform.Heartbeat, remove bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unstored, c.remove
}

func (c *backendClient) storeReport(ctx context.Context, report platform.Heartbeat) error {
	ctx, cancel := context.WithTimeout(ctx, platform.DefaultCallTimeout)
	defer cancel()
	_, err := c.agent.links.store.Put(ctx, c.reportKey(), platform.EncodeReport(report), store.AnyVersion, 0)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored = describeReport(report)
	if c.unstored != nil && describeReport(*c.unstored) == c.stored {
		c.unstored = nil
	}
	return nil
}

func (c *backendClient) removeReport(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platform.DefaultCallTimeout)
	defer cancel()
	err := c.agent.links.store.Delete(ctx, c.reportKey(), store.AnyVersion)
	if err != nil && !store.IsKind(err, store.KindNotFound) {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored, c.remove = storedReport{}, false
	return nil
}
