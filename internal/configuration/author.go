package configuration

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
)

// Timing of the calls of a change.
const (
	// CallTimeout bounds one call of the store, so that a lost answer leaves time to read back.
	CallTimeout = time.Second
	// resolveMargin is the time that must remain when the document is first written: a whole call for the write and
	// half of one to read back. With less, the change is refused while it certainly has not happened.
	resolveMargin = CallTimeout + CallTimeout/2
	// retryDelay separates retries of a failed call.
	retryDelay = 50 * time.Millisecond
)

// Bounds of the text that a change keeps.
const (
	MaxCommandBytes  = 4 << 10
	MaxOperatorBytes = 128
)

// WriterOptions configures an Author. The zero value is valid.
type WriterOptions struct {
	// PoolsWithoutMajority returns the pools of a document of which this gateway does not hear a majority of the roster. Nil means
	// none.
	PoolsWithoutMajority func(document *structs.Configuration) []structs.PoolID
	// Now is the wall clock of the audit trail; it decides nothing. Nil means time.Now.
	Now func() time.Time
	// NewID returns a change id that no other author uses. Nil means a random UUID.
	NewID func() string
}

// Writer changes the configuration document in the store. It holds no state between calls and is safe for concurrent
// use.
type Writer struct {
	store   store.Store
	options WriterOptions
}

// NewWriter returns an Author on a store.
func NewWriter(s store.Store, options WriterOptions) *Writer {
	if options.PoolsWithoutMajority == nil {
		options.PoolsWithoutMajority = func(*structs.Configuration) []structs.PoolID { return nil }
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.NewID == nil {
		options.NewID = uuid.NewString
	}
	return &Writer{store: s, options: options}
}

// stored is a document as read, with the version for compare-and-swap. Version 0 means that none exists yet.
type stored struct {
	document *structs.Configuration
	version  uint64
}

// Propose reads the document, applies the proposal, validates the whole, writes the audit entry and then the
// document under compare-and-swap. It returns the accepted document.
//
// Errors: *ValidationError or the error of Apply, *ConflictError, *UnchangedError, *MajorityError and *StoreError,
// after all of which nothing is changed; *UnknownError, after which the change may take effect.
func (a *Writer) Propose(ctx context.Context, p Proposal) (*structs.Configuration, error) {
	// A caller that hangs up in the middle must not leave the outcome unresolved.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ChangeTimeout)
	defer cancel()
	base, err := a.read(ctx)
	if err != nil {
		return nil, err
	}
	next, err := a.prepare(base.document, p)
	if err != nil {
		return nil, err
	}
	if err := a.checkMajority(base.document, next); err != nil {
		return nil, err
	}
	if err := a.writeAudit(ctx, base.document, next); err != nil {
		return nil, err
	}
	// The majority can be lost while the store answers slowly.
	if err := a.checkMajority(base.document, next); err != nil {
		return nil, err
	}
	return a.commit(ctx, base, next)
}

// checkMajority asks for the pools of both documents: the owner of a removed service's pool has to learn of it too.
func (a *Writer) checkMajority(base, next *structs.Configuration) error {
	lacking := a.options.PoolsWithoutMajority(base)
	for _, pool := range a.options.PoolsWithoutMajority(next) {
		if !slices.Contains(lacking, pool) {
			lacking = append(lacking, pool)
		}
	}
	if len(lacking) > 0 {
		return &MajorityError{Pools: lacking}
	}
	return nil
}

// prepare returns the document of the next revision without touching base.
func (a *Writer) prepare(base *structs.Configuration, p Proposal) (*structs.Configuration, error) {
	if p.Base != nil && *p.Base != base.Revision {
		return nil, &ConflictError{Revision: base.Revision, Winner: base.Change}
	}
	next := Clone(base)
	if err := p.Apply(next); err != nil {
		return nil, err
	}
	fillMaps(next)
	next.Revision = base.Revision + 1
	next.Change = structs.Change{
		ID:       a.options.NewID(),
		Operator: cutText(p.Operator, MaxOperatorBytes),
		Command:  cutText(p.Command, MaxCommandBytes),
		Time:     a.options.Now().UTC(),
	}
	if err := joinFaults(Validate(next), CheckTransition(base, next)); err != nil {
		return nil, err
	}
	if base.Revision > 0 && len(Diff(base, next)) == 0 {
		return nil, &UnchangedError{Revision: base.Revision}
	}
	return next, checkSize(next)
}

func checkSize(next *structs.Configuration) error {
	raw, err := Encode(next)
	if err != nil {
		return err
	}
	c := &checker{}
	c.require(len(raw) <= store.MaxValueBytes, "document", "%s is larger than the store's largest value of %s",
		formatBytes(int64(len(raw))), formatBytes(store.MaxValueBytes))
	return c.err()
}

// cutText shortens a text to at most limit bytes and marks the cut.
func cutText(text string, limit int) string {
	const mark = "..."
	if len(text) <= limit {
		return text
	}
	return text[:limit-len(mark)] + mark
}

// read returns the document; a store without one gives Default. It retries until the context ends.
func (a *Writer) read(ctx context.Context) (stored, error) {
	for {
		found, err := a.readOnce(ctx)
		var malformed *DecodeError
		if err == nil || errors.As(err, &malformed) {
			return found, err
		}
		if !ctxtime.Sleep(ctx, retryDelay) {
			return stored{}, &StoreError{Err: err}
		}
	}
}

func (a *Writer) readOnce(ctx context.Context) (stored, error) {
	call, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	entry, err := a.store.Get(call, Key)
	if kindOf(err) == store.KindNotFound {
		return stored{document: Default()}, nil
	}
	if err != nil {
		return stored{}, err
	}
	document, err := Decode(entry.Value)
	return stored{document: document, version: entry.Version}, err
}

// writeAudit writes the audit entry of the proposal. Its key is unique, so a conflict means that an earlier try
// whose answer was lost has written it.
func (a *Writer) writeAudit(ctx context.Context, base, next *structs.Configuration) error {
	raw, err := encodeAudit(newAuditEntry(base, next))
	if err != nil {
		return err
	}
	key := auditKey(next.Revision, next.Change.ID)
	for {
		err := a.put(ctx, key, raw, 0)
		if err == nil || kindOf(err) == store.KindConflict {
			return nil
		}
		if !ctxtime.Sleep(ctx, retryDelay) {
			return &StoreError{Err: err}
		}
	}
}

func (a *Writer) put(ctx context.Context, key string, raw []byte, expect uint64) error {
	call, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	_, err := a.store.Put(call, key, raw, expect, 0)
	return err
}

// commit writes the document. After a lost answer it reads back, and repeats the same write if the document is
// still the old one: a delayed first write and its repetition are the same change, and whichever comes second fails
// the comparison.
func (a *Writer) commit(ctx context.Context, base stored, next *structs.Configuration) (*structs.Configuration, error) {
	raw, err := Encode(next)
	if err != nil {
		return nil, err
	}
	maybeWritten := false
	for {
		if deadline, ok := ctx.Deadline(); ok && !maybeWritten && time.Until(deadline) < resolveMargin {
			return nil, &StoreError{Err: context.DeadlineExceeded}
		}
		err := a.put(ctx, Key, raw, base.version)
		if err == nil {
			return next, nil
		}
		maybeWritten = maybeWritten || isUnknown(err)
		if kindOf(err) == store.KindConflict || maybeWritten {
			decided, verdict := a.resolve(ctx, next, maybeWritten)
			if decided {
				return acceptedOr(next, verdict)
			}
		}
		if !ctxtime.Sleep(ctx, retryDelay) {
			return nil, uncertain(next, maybeWritten, err)
		}
	}
}

func acceptedOr(next *structs.Configuration, err error) (*structs.Configuration, error) {
	if err != nil {
		return nil, err
	}
	return next, nil
}

func uncertain(next *structs.Configuration, maybeWritten bool, err error) error {
	switch {
	case maybeWritten:
		return &OutcomeUnknownError{Revision: next.Revision, ChangeID: next.Change.ID, Err: err}
	case kindOf(err) == store.KindConflict:
		return &ConflictError{}
	}
	return &StoreError{Err: err}
}

// resolve reads back whether the proposal became its revision. decided is false if that cannot be told yet.
func (a *Writer) resolve(ctx context.Context, next *structs.Configuration, maybeWritten bool) (decided bool, err error) {
	now, err := a.readOnce(ctx)
	if err != nil {
		return false, nil
	}
	if now.document.Revision < next.Revision {
		// A stale answer after a conflict, or the write has not arrived.
		return false, nil
	}
	if now.document.Revision == next.Revision {
		return true, verdict(next, now.document.Revision, now.document.Change)
	}
	winner, err := a.acceptedChange(ctx, next.Revision)
	if err == nil {
		return true, verdict(next, next.Revision, winner)
	}
	if maybeWritten {
		return false, nil
	}
	return true, &ConflictError{Revision: now.document.Revision, Winner: now.document.Change}
}

func verdict(next *structs.Configuration, revision structs.Revision, winner structs.Change) error {
	if winner.ID == next.Change.ID {
		return nil
	}
	return &ConflictError{Revision: revision, Winner: winner}
}

// acceptedChange returns the change of a revision that the document has left behind.
func (a *Writer) acceptedChange(ctx context.Context, revision structs.Revision) (structs.Change, error) {
	entries, err := a.auditEntries(ctx, revision, revision+1)
	if err != nil {
		return structs.Change{}, err
	}
	for _, entry := range entries {
		if entry.Revision == revision && provenBy(entries, entry) {
			return entry.Change, nil
		}
	}
	return structs.Change{}, fmt.Errorf("configuration: revision %d has no audit entry", revision)
}

// kindOf returns the kind of a store error, and 0 for nil. Errors of other types, such as an ended context, count
// as unavailable.
func kindOf(err error) store.Kind {
	if err == nil {
		return 0
	}
	var failure *store.Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return store.KindUnavailable
}

// isUnknown reports whether a failed write may have taken effect. An error that is not of the store's type says
// nothing, so it counts as unknown.
func isUnknown(err error) bool {
	var failure *store.Error
	if errors.As(err, &failure) {
		return failure.OutcomeUnknown
	}
	return true
}
