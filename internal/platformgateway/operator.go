package platformgateway

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/platform"
)

// Times of calls to the store.
const (
	// storeTimeout bounds a call beyond its wait. A call on a connection that has become unresponsive must end early
	// enough that a change by the operators still takes effect in time (2 s on the users' platform).
	storeTimeout = 600 * time.Millisecond
	// watchTimeout is how long a watch waits for changes. Together with storeTimeout it bounds how long an
	// unresponsive connection hides changes.
	watchTimeout = time.Second
	// retryDelay is the pause after the first failed call. It doubles with each further one, up to maxRetryDelay.
	retryDelay    = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// operatorWatcher follows the operators' keys in the store.
type operatorWatcher struct {
	gateway *Gateway
	// routing is the configuration in force, or nil before the first.
	routing atomic.Pointer[structs.Routing]
	// state is the newest known operator state, from the store or from an agent. It may only be used in the event
	// loop.
	state structs.OperatorState
}

// operatorView is the content of the operators' keys as read from the store.
type operatorView struct {
	routing  []byte
	zonesOut map[string]bool
	revision uint64
}

// apply updates the view with the value or the removal of a key.
func (v *operatorView) apply(key string, value []byte, removed bool) {
	change, ok := platform.ParseOperatorKey(key, value, removed)
	switch {
	case !ok:
	case change.Routing != nil:
		v.routing = change.Routing
	case change.Out:
		v.zonesOut[change.Zone] = true
	default:
		delete(v.zonesOut, change.Zone)
	}
}

// run reads the operators' keys and follows their changes. After a failed call, or when the store has compacted
// changes that were not read, it starts over.
func (o *operatorWatcher) run(ctx context.Context) error {
	pause, unavailable := retryDelay, false
	for ctx.Err() == nil {
		requestedAt := o.gateway.loop.Now()
		v, err := o.read(ctx)
		if err == nil {
			if unavailable {
				_ = level.Info(o.gateway.logger).Log("msg", "store available again", "revision", v.revision)
			}
			pause, unavailable = retryDelay, false
			o.publish(v)
			o.confirm(v, requestedAt)
			err = o.follow(ctx, v)
		}
		if ctx.Err() != nil {
			break
		}
		if !unavailable {
			_ = level.Warn(o.gateway.logger).Log("msg", "store unavailable", "err", err)
		}
		unavailable = true
		ctxtime.Sleep(ctx, pause)
		pause = min(2*pause, maxRetryDelay)
	}
	return ctx.Err()
}

// read reads all keys. It returns the revision of the first page, so that changes made while reading are followed
// again.
func (o *operatorWatcher) read(ctx context.Context) (*operatorView, error) {
	v := &operatorView{zonesOut: map[string]bool{}}
	for after := ""; ; {
		entries, revision, err := o.gateway.store.List(ctx, platform.OperatorPrefix, after, 0)
		if err != nil {
			return nil, err
		}
		if v.revision == 0 {
			v.revision = revision
		}
		for _, entry := range entries {
			v.apply(entry.Key, entry.Value, false)
			after = entry.Key
		}
		if len(entries) == 0 {
			return v, nil // pages are limited by size, so only an empty page is the last
		}
	}
}

// follow applies changes until a call fails.
func (o *operatorWatcher) follow(ctx context.Context, v *operatorView) error {
	for {
		requestedAt := o.gateway.loop.Now()
		events, revision, err := o.gateway.store.Watch(ctx, platform.OperatorPrefix, v.revision, watchTimeout)
		if store.IsKind(err, store.KindCompacted) {
			_ = level.Info(o.gateway.logger).Log("msg", "store has compacted changes, reading the operators' keys again")
		}
		if err != nil {
			return err
		}
		for _, event := range events {
			v.apply(event.Key, event.Value, event.Deleted)
		}
		v.revision = max(v.revision, revision)
		if len(events) > 0 {
			o.publish(v)
			o.confirm(v, requestedAt)
			continue
		}
		// Nothing has changed until the wait ended, even if the answer was late.
		o.confirm(v, min(requestedAt+watchTimeout, o.gateway.loop.Now()))
	}
}

// confirm passes the zones of the view to the scheduler as those that the store had at the time asOf.
func (o *operatorWatcher) confirm(v *operatorView, asOf time.Duration) {
	zones, revision := slices.Sorted(maps.Keys(v.zonesOut)), v.revision
	o.gateway.loop.Post(func(now time.Duration) { o.gateway.scheduler.ConfirmZones(now, zones, revision, asOf) })
}

// publish passes the view to the event loop.
func (o *operatorWatcher) publish(v *operatorView) {
	state := &structs.OperatorState{
		Revision: v.revision, Routing: v.routing, ZonesOut: slices.Sorted(maps.Keys(v.zonesOut)),
	}
	o.gateway.loop.Post(func(now time.Duration) { o.applyState(now, state, "store") })
}

// applyState puts an operator state in force if it is newer than the known one, and sends it to the agents. If its
// configuration is invalid, the previous one stays in force. It runs in the event loop.
func (o *operatorWatcher) applyState(now time.Duration, state *structs.OperatorState, source string) {
	g := o.gateway
	if state.Revision <= o.state.Revision || len(state.Routing) == 0 {
		return
	}
	// The zones apply even if the configuration is rejected. In that case o.state is not updated, so that other
	// gateways never receive this revision with an older configuration.
	g.scheduler.SetZonesOut(now, state.ZonesOut, state.Revision)
	routing, err := platform.ParseRouting(state.Routing)
	if err != nil {
		_ = level.Error(g.logger).Log("msg", "configuration rejected, keeping the previous one", "err", err)
		return
	}
	if known := o.routing.Load(); known != nil && routing.Version < known.Version {
		_ = level.Warn(g.logger).Log("msg", "older configuration ignored", "version", routing.Version,
			"in_force", known.Version, "source", source)
		return
	}
	o.state = *state
	o.routing.Store(routing)
	_ = level.Info(g.logger).Log("msg", "configuration in force", "version", routing.Version, "revision", state.Revision,
		"routes", len(routing.Routes), "zones_out", len(state.ZonesOut), "source", source)
	g.agents.broadcastState()
}
