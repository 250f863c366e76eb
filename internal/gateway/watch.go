package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/ownership"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
)

// Timing of watches.
const (
	// watchWait is how long one watch call waits in the store.
	watchWait = 10 * time.Second
	// membersWait is shorter: a takeover requires a view of the members that is not older than the pool's record.
	membersWait = time.Second
	// watchPause follows a failed call and limits the load on an unavailable store.
	watchPause = 250 * time.Millisecond
	// listTimeout limits one list call.
	listTimeout = 2 * time.Second
	// listLimit is the number of entries in one page of a listing.
	listLimit = 1000
)

// recordPrefix is the store prefix of the pool records.
const recordPrefix = "pools/"

// prefixWatch describes how a store prefix is watched. reset receives the whole content at the beginning and after a
// loss of events, apply the events of each watch call, of which there may be none. Both receive the store's revision.
type prefixWatch struct {
	prefix string
	wait   time.Duration
	reset  func([]store.Entry, uint64)
	apply  func([]store.Event, uint64)
}

// followPrefix lists a prefix and then passes on its events until the context ends.
func (g *Gateway) followPrefix(ctx context.Context, w prefixWatch) error {
	for ctx.Err() == nil {
		entries, revision, err := g.listAll(ctx, w.prefix)
		if err != nil {
			g.logWatchFailure(ctx, w.prefix, err)
			ctxtime.Sleep(ctx, watchPause)
			continue
		}
		w.reset(entries, revision)
		g.watchFrom(ctx, w, revision)
	}
	return nil
}

// listAll returns all entries with the prefix. The returned revision is that of the first page, so that changes made
// while further pages are read appear again as events.
func (g *Gateway) listAll(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	var all []store.Entry
	var first uint64
	after := ""
	for {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		page, revision, err := g.options.Store.List(callCtx, prefix, after, listLimit)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if after == "" {
			first = revision
		}
		all = append(all, page...)
		if len(page) < listLimit {
			return all, first, nil
		}
		after = page[len(page)-1].Key
	}
}

// watchFrom passes on events from a revision on. It returns if events were lost or the context has ended.
func (g *Gateway) watchFrom(ctx context.Context, w prefixWatch, revision uint64) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, w.wait+listTimeout)
		events, next, err := g.options.Store.Watch(callCtx, w.prefix, revision, w.wait)
		cancel()
		switch {
		case store.IsKind(err, store.KindCompacted):
			return
		case err != nil:
			g.logWatchFailure(ctx, w.prefix, err)
			ctxtime.Sleep(ctx, watchPause)
		default:
			revision = max(revision, next)
			w.apply(events, revision)
		}
	}
}

func (g *Gateway) logWatchFailure(ctx context.Context, prefix string, err error) {
	if ctx.Err() == nil {
		_ = level.Debug(g.logger).Log("msg", "watch failed", "prefix", prefix, "err", err)
	}
}

// watchMembers is the loop that follows the member list.
func (g *Gateway) watchMembers(ctx context.Context) error {
	live := map[string]member{}
	publish := func(revision uint64) {
		g.peers.setMembers(live)
		refs := make([]structs.GatewayRef, 0, len(live))
		for _, m := range live {
			refs = append(refs, m.Gateway)
		}
		g.pools.push(ctx, ownership.Members{Live: refs, Revision: revision})
	}
	put := func(e store.Entry) {
		var m member
		if err := json.Unmarshal(e.Value, &m); err != nil {
			_ = level.Error(g.logger).Log("msg", "malformed member record ignored", "key", e.Key, "err", err)
			return
		}
		live[e.Key] = m
	}
	reset := func(entries []store.Entry, revision uint64) {
		clear(live)
		for _, e := range entries {
			put(e)
		}
		publish(revision)
	}
	apply := func(events []store.Event, revision uint64) {
		for _, e := range events {
			if e.Deleted {
				delete(live, e.Key)
				continue
			}
			put(e.Entry)
		}
		publish(revision)
	}
	return g.followPrefix(ctx, prefixWatch{memberPrefix, membersWait, reset, apply})
}

// watchRecords is the loop that follows the pool records.
func (g *Gateway) watchRecords(ctx context.Context) error {
	observe := func(e store.Entry) {
		if record, ok := g.parseRecord(e); ok {
			g.pools.push(ctx, ownership.ObservedRecord{
				Record: record, Version: e.Version, Revision: e.Revision,
			})
		}
	}
	reset := func(entries []store.Entry, _ uint64) {
		for _, e := range entries {
			observe(e)
		}
	}
	apply := func(events []store.Event, _ uint64) {
		for _, e := range events {
			if !e.Deleted {
				observe(e.Entry)
			}
		}
		if len(events) > 0 {
			g.pools.ownershipChanged()
		}
	}
	return g.followPrefix(ctx, prefixWatch{recordPrefix, watchWait, reset, apply})
}

// parseRecord decodes a pool record, and logs a malformed one.
func (g *Gateway) parseRecord(e store.Entry) (ownership.Record, bool) {
	var record ownership.Record
	if err := json.Unmarshal(e.Value, &record); err != nil {
		_ = level.Error(g.logger).Log("msg", "malformed pool record ignored", "key", e.Key, "err", err)
		return record, false
	}
	return record, true
}

// watchConfig is the loop that follows the configuration document.
func (g *Gateway) watchConfig(ctx context.Context) error {
	offer := func(e store.Entry) {
		if e.Key == configuration.Key {
			g.config.offer(ctx, e.Value)
		}
	}
	reset := func(entries []store.Entry, _ uint64) {
		for _, e := range entries {
			offer(e)
		}
		g.config.markLoaded()
	}
	apply := func(events []store.Event, _ uint64) {
		for _, e := range events {
			if !e.Deleted {
				offer(e.Entry)
			}
		}
	}
	return g.followPrefix(ctx, prefixWatch{configuration.Key, watchWait, reset, apply})
}

// recordKey returns the store key of a pool's record.
func recordKey(pool structs.PoolID) string {
	return recordPrefix + strings.Replace(pool.String(), ".", "/", 1)
}
