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

// Times of the calls to the store.
const (
	// storeTimeout bounds a call beyond its wait. A call on a connection that has gone silent must end while a change of
	// the operators can still be in force in time (2 s on the users' platform).
	storeTimeout = 600 * time.Millisecond
	// watchWait is how long a watch waits. It bounds, with storeTimeout, how long a silent connection hides changes.
	watchWait = time.Second
	// retryFirst and retryMax bound the pause after a failed call.
	retryFirst = 50 * time.Millisecond
	retryMax   = 400 * time.Millisecond
)

// operator follows the operators' keys in the store.
type operator struct {
	gateway *Gateway
	// routing is the configuration in force, nil before the first.
	routing atomic.Pointer[structs.Routing]
	// state is the newest state that is known, from the store or from an agent; it belongs to the loop.
	state structs.OperatorState
}

// view is what the store says about the operators' keys.
type view struct {
	routing  []byte
	zonesOut map[string]bool
	revision uint64
}

func (v *view) apply(key string, value []byte, removed bool) {
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

// run reads the keys and follows their changes. After a failed call or a loss of history it reads them again.
func (o *operator) run(ctx context.Context) error {
	pause, lost := retryFirst, false
	for ctx.Err() == nil {
		v, err := o.read(ctx)
		if err == nil {
			if lost {
				_ = level.Info(o.gateway.logger).Log("msg", "store regained", "revision", v.revision)
			}
			pause, lost = retryFirst, false
			o.publish(v)
			err = o.follow(ctx, v)
		}
		if ctx.Err() != nil {
			break
		}
		if !lost {
			_ = level.Warn(o.gateway.logger).Log("msg", "store lost", "err", err)
		}
		lost = true
		ctxtime.Sleep(ctx, pause)
		pause = min(2*pause, retryMax)
	}
	return ctx.Err()
}

// read reads all keys. The revision is that of the first page, so that changes during the reading are followed again.
func (o *operator) read(ctx context.Context) (*view, error) {
	v := &view{zonesOut: map[string]bool{}}
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
			return v, nil // pages are cut by size, so only an empty one is the last
		}
	}
}

// follow applies changes until a call fails.
func (o *operator) follow(ctx context.Context, v *view) error {
	for {
		events, revision, err := o.gateway.store.Watch(ctx, platform.OperatorPrefix, v.revision, watchWait)
		if store.IsKind(err, store.KindCompacted) {
			_ = level.Info(o.gateway.logger).Log("msg", "store history lost, reads the operators' keys again")
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
		}
	}
}

func (o *operator) publish(v *view) {
	state := &structs.OperatorState{
		Revision: v.revision, Routing: v.routing, ZonesOut: slices.Sorted(maps.Keys(v.zonesOut)),
	}
	o.gateway.loop.Post(func(now time.Duration) { o.learn(now, state, "store") })
}

// learn applies a state that is newer than the known one and passes it to the agents. A configuration that cannot be
// read keeps the one before in force. It runs in the loop.
func (o *operator) learn(now time.Duration, state *structs.OperatorState, source string) {
	g := o.gateway
	if state.Revision <= o.state.Revision || len(state.Routing) == 0 {
		return
	}
	// Zones count also if the configuration is not used. The state then stays the known one, so that other gateways never get
	// this revision with an older configuration.
	g.scheduler.SetZonesOut(now, state.ZonesOut, state.Revision)
	routing, err := platform.ParseRouting(state.Routing)
	if err != nil {
		_ = level.Error(g.logger).Log("msg", "configuration not understood, keeps the one before", "err", err)
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
	g.agents.broadcast()
}
