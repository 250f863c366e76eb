// Package store defines access to a key-value service that offers compare-and-swap, leases and watches. Package
// platform implements it over HTTP.
package store

import (
	"context"
	"errors"
	"time"
)

// LeaseID identifies a lease of the store. 0 means no lease.
type LeaseID uint64

// Entry is one key with its stored value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version grows with every write of the key. A key that does not exist has version 0.
	Version uint64 `json:"version"`
	// Revision is the store-wide revision of the write.
	Revision uint64  `json:"revision"`
	Lease    LeaseID `json:"lease,omitempty"`
}

// Event reports a write of a key or, if Deleted is set, its removal by a client or by the end of its lease.
type Event struct {
	Entry
	Deleted bool `json:"deleted,omitempty"`
}

// AnyVersion disables the version check of Put and Delete; it is passed as the expected version.
const AnyVersion = ^uint64(0)

// MaxValueBytes is the largest value that the platform's store accepts.
const MaxValueBytes = 1 << 20

// Store is the platform's key-value service. Every method counts as one call against the service's budget, a waiting
// Watch too. All errors are of type *Error. After an error with OutcomeUnknown set, a write may have taken effect.
type Store interface {
	// Get returns the entry, or an error of KindNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns, in key order, up to limit entries whose keys have the prefix and are greater than after. It also
	// returns the store's revision at the time of the read.
	List(ctx context.Context, prefix, after string, limit int) ([]Entry, uint64, error)
	// Put writes the value if the key's version is expectedVersion and returns the new version. A mismatch is an error
	// of KindConflict.
	Put(ctx context.Context, key string, value []byte, expectedVersion uint64, lease LeaseID) (uint64, error)
	// Delete removes the key if its version is expectedVersion.
	Delete(ctx context.Context, key string, expectedVersion uint64) error
	// GrantLease creates a lease. Keys written under it are deleted when it ends.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease for its TTL, counted from when the store receives the call. For a lease that has ended
	// it returns an error of KindNotFound.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits up to wait for events of keys with the prefix, with a revision above after. It returns the events and
	// the revision to pass as after in the next call. An error of KindCompacted means that the store no longer has all
	// events above after, so that the caller must List again.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
}

// Kind classifies the errors of the store.
type Kind uint8

// The kinds of error.
const (
	KindUnavailable Kind = iota + 1
	KindNotFound
	KindConflict
	KindCompacted
	KindTooLarge
	KindInvalid
)

// Error is the error of a call to the store.
type Error struct {
	Op   string
	Key  string
	Kind Kind
	// OutcomeUnknown is true if a write may have taken effect although it was not confirmed.
	OutcomeUnknown bool
	Err            error
}

var kindNames = map[Kind]string{
	KindUnavailable: "unavailable", KindNotFound: "not found", KindConflict: "version conflict",
	KindCompacted: "events compacted", KindTooLarge: "value too large", KindInvalid: "invalid request",
}

// Error implements error.
func (e *Error) Error() string {
	text := "store: " + e.Op + " " + e.Key + ": " + kindNames[e.Kind]
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an *Error of the kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// IsOutcomeUnknown reports whether the write that failed with err may have taken effect.
func IsOutcomeUnknown(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.OutcomeUnknown
}
