// Package zonestate tracks which availability zones the operators have taken out of service, and how old that knowledge
// is. Gateways follow the operators' keys in the store; agents learn the zones from gateways and read the store
// themselves only when no gateway has had contact with it for some time. The package does no I/O and reads no clock.
package zonestate

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Unconfirmed is the asOf argument of Apply for a state of which it is not known when the store had it.
const Unconfirmed = time.Duration(math.MinInt64 / 4)

// View is the newest known state of the zones. NewView returns one that knows nothing.
type View struct {
	known    bool
	revision uint64
	out      []string
	asOf     time.Duration
}

// NewView returns a view without a state.
func NewView() View { return View{asOf: Unconfirmed} }

// Apply takes a state of the zones: out lists those out of service, in ascending order, as of a revision of the store.
// asOf is a time at which the store had no newer state, on the clock of the other calls. Apply reports whether the zones
// have changed.
func (v *View) Apply(out []string, revision uint64, asOf time.Duration) bool {
	same := slices.Equal(v.out, out)
	if v.known && !same && revision <= v.revision {
		return false
	}
	changed := !same
	v.known, v.revision, v.out = true, max(v.revision, revision), out
	v.asOf = max(v.asOf, asOf)
	return changed
}

// Known reports whether any state was applied.
func (v *View) Known() bool { return v.known }

// Revision returns the revision of the store up to which the state is known.
func (v *View) Revision() uint64 { return v.revision }

// Out returns the zones out of service in ascending order. The caller must not change it.
func (v *View) Out() []string { return v.out }

// IsOut reports whether a zone is out of service.
func (v *View) IsOut(zone string) bool { return slices.Contains(v.out, zone) }

// String returns the state for logs.
func (v *View) String() string { return fmt.Sprintf("out=%v revision=%d", v.out, v.revision) }

// AsOf returns the latest time at which the store is known to have had no newer state.
func (v *View) AsOf() time.Duration { return v.asOf }

// Age returns the time since AsOf, at most MaxAge.
func (v *View) Age(now time.Duration) time.Duration {
	if now-v.asOf > MaxAge {
		return MaxAge
	}
	return max(now-v.asOf, 0)
}

// Times of the reads of the store by agents. Together with the time-out of a read and one retry they are shorter than the
// time within which a zone must get no more tasks: 5 s on the users' platform.
const (
	// StaleAfter is the age from which a state is too old to go by. In normal operation, gateways confirm it once a
	// second and pass it on within half a second.
	StaleAfter = 2 * time.Second
	// readSpread distributes the reads of the agents. The first one passes its state on to the gateways, and so most of
	// the others need not read.
	readSpread = time.Second
	// minReadRetry and maxReadRetry bound the exponential backoff after failed reads. With maxReadRetry, the agents of
	// the design size make 550 calls a second to a store that refuses them, of the 2,000 that the platform allows.
	minReadRetry = 800 * time.Millisecond
	maxReadRetry = 2 * time.Second
	// MaxAge bounds the age that is reported of a state that was never confirmed.
	MaxAge = time.Hour
)

// Reader decides when an agent reads the zones from the store.
type Reader struct {
	startedAt time.Duration
	// delay is the agent's share of readSpread.
	delay   time.Duration
	reading bool
	retryAt time.Duration
	backoff time.Duration
}

// NewReader returns a reader of the agent with an ID that starts at a time.
func NewReader(startedAt time.Duration, id string) Reader {
	delay := time.Duration(xxhash.Sum64String(id) % uint64(readSpread))
	return Reader{startedAt: startedAt, delay: delay, retryAt: Unconfirmed, backoff: minReadRetry}
}

// NextRead returns when the next read is due if the view does not change before. A started agent gives the gateways half
// of StaleAfter to link and send their state.
func (r *Reader) NextRead(v *View) time.Duration {
	if r.reading {
		return math.MaxInt64
	}
	return max(max(v.AsOf(), r.startedAt-StaleAfter/2)+StaleAfter+r.delay, r.retryAt)
}

// Begin records that a read begins.
func (r *Reader) Begin() { r.reading = true }

// End records the end of a read.
func (r *Reader) End(now time.Duration, succeeded bool) {
	r.reading = false
	if succeeded {
		r.backoff, r.retryAt = minReadRetry, Unconfirmed
		return
	}
	r.retryAt = now + r.backoff
	r.backoff = min(2*r.backoff, maxReadRetry)
}
