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
	// CallTimeout bounds one call to the store, so that time is left to read the document back after a lost answer.
	CallTimeout = time.Second
	// resolveMargin is the time that must remain before the first write of the document: one call for the write and
	// half a call to read back. With less time, the change is refused while it certainly has not taken effect.
	resolveMargin = CallTimeout + CallTimeout/2
	// retryDelay is the pause before a failed call is retried.
	retryDelay = 50 * time.Millisecond
)

// Bounds of the texts in an audit entry. Longer texts are truncated.
const (
	MaxCommandBytes  = 4 << 10
	MaxOperatorBytes = 128
)

// WriterOptions configures a Writer. The zero value is valid.
type WriterOptions struct {
	// PoolsWithoutMajority returns the pools of a document for which this gateway is not in contact with a majority of
	// the roster. Nil means that there are none.
	PoolsWithoutMajority func(document *structs.Configuration) []structs.PoolID
	// Now returns the wall-clock time for the audit trail. No decision depends on it. Nil means time.Now.
	Now func() time.Time
	// NewID returns a globally unique change id. Nil means a random UUID.
	NewID func() string
}

// Writer changes the configuration document in the store and reads its history. It keeps no state between calls and is
// safe for concurrent use.
type Writer struct {
	store   store.Store
	options WriterOptions
}

// NewWriter returns a Writer that uses the store.
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

// storedDocument is a document read from the store, with its version for compare-and-swap. Version 0 means that the
// store has no document yet.
type storedDocument struct {
	document *structs.Configuration
	version  uint64
}

// Propose reads the document, applies the proposal and validates the result. It then writes the audit entry and, under
// compare-and-swap, the document. It returns the accepted document.
//
// Errors: the error of Apply, *ValidationError, *ConflictError, *UnchangedError, *MajorityError, *StoreError and
// *DecodeError, after which nothing has changed, and *OutcomeUnknownError, after which the change may still take
// effect.
func (w *Writer) Propose(ctx context.Context, p Proposal) (*structs.Configuration, error) {
	// The change runs to its end even if the operator disconnects, so that its outcome does not stay unresolved.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ChangeTimeout)
	defer cancel()
	base, err := w.read(ctx)
	if err != nil {
		return nil, err
	}
	next, err := w.prepare(base.document, p)
	if err != nil {
		return nil, err
	}
	if err := w.checkMajority(base.document, next); err != nil {
		return nil, err
	}
	if err := w.writeAudit(ctx, base.document, next); err != nil {
		return nil, err
	}
	// The majority can be lost while the calls to the store take time.
	if err := w.checkMajority(base.document, next); err != nil {
		return nil, err
	}
	return w.commit(ctx, base, next)
}

// checkMajority checks the pools of both documents, because the owner of a removed service's pool must learn of the
// removal too.
func (w *Writer) checkMajority(base, next *structs.Configuration) error {
	withoutMajority := w.options.PoolsWithoutMajority(base)
	for _, pool := range w.options.PoolsWithoutMajority(next) {
		if !slices.Contains(withoutMajority, pool) {
			withoutMajority = append(withoutMajority, pool)
		}
	}
	if len(withoutMajority) > 0 {
		return &MajorityError{Pools: withoutMajority}
	}
	return nil
}

// prepare returns the validated document of the next revision. It does not modify base.
func (w *Writer) prepare(base *structs.Configuration, p Proposal) (*structs.Configuration, error) {
	if p.Base != nil && *p.Base != base.Revision {
		return nil, &ConflictError{Revision: base.Revision, Winner: base.Change}
	}
	next := Clone(base)
	if err := p.Apply(next); err != nil {
		return nil, err
	}
	initMaps(next)
	next.Revision = base.Revision + 1
	next.Change = structs.Change{
		ID:       w.options.NewID(),
		Operator: truncate(p.Operator, MaxOperatorBytes),
		Command:  truncate(p.Command, MaxCommandBytes),
		Time:     w.options.Now().UTC(),
	}
	if err := joinViolations(Validate(next), CheckTransition(base, next)); err != nil {
		return nil, err
	}
	if base.Revision > 0 && len(Diff(base, next)) == 0 {
		return nil, &UnchangedError{Revision: base.Revision}
	}
	return next, checkSize(next)
}

// checkSize returns a *ValidationError if the document does not fit into one value of the store.
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

// truncate shortens a text to at most limit bytes and marks the omission.
func truncate(text string, limit int) string {
	const ellipsis = "..."
	if len(text) <= limit {
		return text
	}
	return text[:limit-len(ellipsis)] + ellipsis
}

// read returns the stored document, or Default if the store has none. It retries until the context ends. The error is a
// *DecodeError or a *StoreError.
func (w *Writer) read(ctx context.Context) (storedDocument, error) {
	for {
		found, err := w.readOnce(ctx)
		var malformed *DecodeError
		if err == nil || errors.As(err, &malformed) {
			return found, err
		}
		if !ctxtime.Sleep(ctx, retryDelay) {
			return storedDocument{}, &StoreError{Err: err}
		}
	}
}

func (w *Writer) readOnce(ctx context.Context) (storedDocument, error) {
	callCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	entry, err := w.store.Get(callCtx, Key)
	if storeErrorKind(err) == store.KindNotFound {
		return storedDocument{document: Default()}, nil
	}
	if err != nil {
		return storedDocument{}, err
	}
	document, err := Decode(entry.Value)
	return storedDocument{document: document, version: entry.Version}, err
}

// writeAudit writes the audit entry of the change and retries until the context ends. The key is unique, so a conflict
// means that an earlier attempt wrote the entry and its answer was lost.
func (w *Writer) writeAudit(ctx context.Context, base, next *structs.Configuration) error {
	raw, err := encodeAudit(newAuditEntry(base, next))
	if err != nil {
		return err
	}
	key := auditKey(next.Revision, next.Change.ID)
	for {
		err := w.put(ctx, key, raw, 0)
		if err == nil || storeErrorKind(err) == store.KindConflict {
			return nil
		}
		if !ctxtime.Sleep(ctx, retryDelay) {
			return &StoreError{Err: err}
		}
	}
}

func (w *Writer) put(ctx context.Context, key string, raw []byte, expectedVersion uint64) error {
	callCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	_, err := w.store.Put(callCtx, key, raw, expectedVersion, 0)
	return err
}

// commit writes the document. If an answer is lost, it reads the document back and repeats the same write while the old
// document is still there. This is safe: a delayed first write and its repetition make the same change, and the later
// of the two fails the version comparison.
func (w *Writer) commit(ctx context.Context, base storedDocument, next *structs.Configuration) (*structs.Configuration, error) {
	raw, err := Encode(next)
	if err != nil {
		return nil, err
	}
	maybeWritten := false
	for {
		if deadline, ok := ctx.Deadline(); ok && !maybeWritten && time.Until(deadline) < resolveMargin {
			return nil, &StoreError{Err: context.DeadlineExceeded}
		}
		err := w.put(ctx, Key, raw, base.version)
		if err == nil {
			return next, nil
		}
		maybeWritten = maybeWritten || outcomeUnknown(err)
		if storeErrorKind(err) == store.KindConflict || maybeWritten {
			resolved, conflict := w.resolve(ctx, next, maybeWritten)
			if resolved {
				return documentOrError(next, conflict)
			}
		}
		if !ctxtime.Sleep(ctx, retryDelay) {
			return nil, unresolvedError(next, maybeWritten, err)
		}
	}
}

// documentOrError returns the document only if the error is nil.
func documentOrError(next *structs.Configuration, err error) (*structs.Configuration, error) {
	if err != nil {
		return nil, err
	}
	return next, nil
}

// unresolvedError returns the error of a change whose outcome was not read back before the timeout.
func unresolvedError(next *structs.Configuration, maybeWritten bool, err error) error {
	switch {
	case maybeWritten:
		return &OutcomeUnknownError{Revision: next.Revision, ChangeID: next.Change.ID, Err: err}
	case storeErrorKind(err) == store.KindConflict:
		return &ConflictError{}
	}
	return &StoreError{Err: err}
}

// resolve reads the document back to find out whether the change of next was accepted. resolved is false if that is not
// known yet. Otherwise the error is nil for an accepted change and a *ConflictError for a refused one.
func (w *Writer) resolve(ctx context.Context, next *structs.Configuration, maybeWritten bool) (resolved bool, err error) {
	current, err := w.readOnce(ctx)
	if err != nil {
		return false, nil
	}
	if current.document.Revision < next.Revision {
		// The read was stale, or the write has not reached the store yet.
		return false, nil
	}
	if current.document.Revision == next.Revision {
		return true, checkWinner(next, current.document.Revision, current.document.Change)
	}
	// Later changes have replaced the document of this revision. The audit entries tell which change was accepted.
	winner, err := w.acceptedChange(ctx, next.Revision)
	if err == nil {
		return true, checkWinner(next, next.Revision, winner)
	}
	if maybeWritten {
		return false, nil
	}
	// This writer's write did not happen, so another change was accepted. The latest change is reported in its place.
	return true, &ConflictError{Revision: current.document.Revision, Winner: current.document.Change}
}

// checkWinner returns nil if the accepted change of a revision is the one of next, and a *ConflictError otherwise.
func checkWinner(next *structs.Configuration, revision structs.Revision, winner structs.Change) error {
	if winner.ID == next.Change.ID {
		return nil
	}
	return &ConflictError{Revision: revision, Winner: winner}
}

// acceptedChange returns the accepted change of a revision below the current one, from the audit entries.
func (w *Writer) acceptedChange(ctx context.Context, revision structs.Revision) (structs.Change, error) {
	entries, err := w.auditEntries(ctx, revision, revision+1)
	if err != nil {
		return structs.Change{}, err
	}
	for _, entry := range entries {
		if entry.Revision == revision && provenAccepted(entries, entry) {
			return entry.Change, nil
		}
	}
	return structs.Change{}, fmt.Errorf("configuration: revision %d has no audit entry", revision)
}

// storeErrorKind returns the kind of a store error, and 0 for nil. Errors of other types, such as that of an ended
// context, count as unavailable.
func storeErrorKind(err error) store.Kind {
	if err == nil {
		return 0
	}
	var failure *store.Error
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return store.KindUnavailable
}

// outcomeUnknown reports whether a failed write may have taken effect. It is true for an error that is not a
// *store.Error, because nothing is known of the write then.
func outcomeUnknown(err error) bool {
	var failure *store.Error
	if errors.As(err, &failure) {
		return failure.OutcomeUnknown
	}
	return true
}
