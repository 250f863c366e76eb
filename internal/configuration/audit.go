package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
)

// Bounds of audit entries and history pages.
const (
	// MaxAuditDiffBytes limits the diff of an entry. It is far below the store's largest value, so that a page of
	// entries is small as well.
	MaxAuditDiffBytes = 16 << 10
	// MaxHistoryPage is the largest number of revisions on one page.
	MaxHistoryPage = 200
	// auditListLimit is the number of entries per List call to the store. An entry has at most 25 KB, so an answer
	// stays below 3 MB.
	auditListLimit = 100
)

func auditKey(revision structs.Revision, changeID string) string {
	return auditRevisionPrefix(revision) + changeID
}

// auditRevisionPrefix pads the revision with zeros, so that keys sort by revision.
func auditRevisionPrefix(revision structs.Revision) string {
	return fmt.Sprintf("%s%020d/", AuditPrefix, revision)
}

func newAuditEntry(base, next *structs.Configuration) AuditEntry {
	entry := AuditEntry{Revision: next.Revision, Change: next.Change, Parent: base.Change.ID}
	size := 0
	lines := Diff(base, next)
	for i, line := range lines {
		size += len(line)
		if size > MaxAuditDiffBytes {
			entry.Cut = len(lines) - i
			break
		}
		entry.Diff = append(entry.Diff, line)
	}
	return entry
}

func encodeAudit(entry AuditEntry) ([]byte, error) {
	raw, err := json.Marshal(entry)
	if err != nil {
		return nil, &DecodeError{Err: err}
	}
	return raw, nil
}

// provenAccepted reports whether an entry of the next revision names the entry's change as its parent. This proves that
// the entry was accepted, whether or not the next one was accepted itself.
func provenAccepted(entries []AuditEntry, entry AuditEntry) bool {
	return slices.ContainsFunc(entries, func(next AuditEntry) bool {
		return next.Revision == entry.Revision+1 && next.Parent == entry.Change.ID
	})
}

// History returns the audit entries of up to limit revisions below before, newest first. If before is 0, it starts at
// the newest entry and includes undecided ones. The error is a *StoreError or a *DecodeError.
func (w *Writer) History(ctx context.Context, before structs.Revision, limit int) (HistoryPage, error) {
	ctx, cancel := context.WithTimeout(ctx, ChangeTimeout)
	defer cancel()
	limit = min(max(limit, 1), MaxHistoryPage)
	// The document is read before the entries, because the accepted entries up to its revision were written before it.
	current, err := w.read(ctx)
	if err != nil {
		return HistoryPage{}, err
	}
	newest := current.document.Revision + 1
	if before == 0 || before > newest {
		before = newest + 1
	}
	from := structs.Revision(1)
	if before > structs.Revision(limit) {
		from = before - structs.Revision(limit)
	}
	entries, err := w.auditEntries(ctx, from, before)
	if err != nil {
		return HistoryPage{}, &StoreError{Err: err}
	}
	return historyPage(entries, current.document, from, before), nil
}

// historyPage returns the entries with from <= revision < before. The entries of revision before are only used to prove
// that entries of the preceding revision were accepted.
func historyPage(entries []AuditEntry, current *structs.Configuration, from, before structs.Revision) HistoryPage {
	page := HistoryPage{}
	for _, entry := range slices.Backward(entries) {
		if entry.Revision < before {
			page.Entries = append(page.Entries, HistoryEntry{AuditEntry: entry, State: auditState(entries, entry, current)})
		}
	}
	if from > 1 {
		page.Next = from
	}
	return page
}

func auditState(entries []AuditEntry, entry AuditEntry, current *structs.Configuration) AuditState {
	switch {
	case entry.Revision == current.Revision && entry.Change.ID == current.Change.ID, provenAccepted(entries, entry):
		return AuditAccepted
	case entry.Revision == current.Revision, entry.Revision < current.Revision && hasRevision(entries, entry.Revision+1):
		return AuditNotAccepted
	}
	// The entry is newer than the document, or the list is stale and lacks the entries of the next revision.
	return AuditUndecided
}

func hasRevision(entries []AuditEntry, revision structs.Revision) bool {
	return slices.ContainsFunc(entries, func(entry AuditEntry) bool { return entry.Revision == revision })
}

// auditEntries returns the entries with from <= revision <= to in key order. An entry that cannot be decoded is
// included with the revision and change id of its key, so that it stays visible.
func (w *Writer) auditEntries(ctx context.Context, from, to structs.Revision) ([]AuditEntry, error) {
	var found []AuditEntry
	// The prefix of a revision sorts before all keys of that revision and after the keys of lower ones.
	after, end := auditRevisionPrefix(from), auditRevisionPrefix(to+1)
	for {
		entries, err := w.listEntries(ctx, after)
		if err != nil {
			return nil, err
		}
		for _, entry := range entries {
			if entry.Key >= end {
				return found, nil
			}
			found = append(found, decodeAudit(entry))
			after = entry.Key
		}
		if len(entries) < auditListLimit {
			return found, nil
		}
	}
}

// listEntries returns up to auditListLimit entries with keys above after. It retries until the context ends.
func (w *Writer) listEntries(ctx context.Context, after string) ([]store.Entry, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, CallTimeout)
		entries, _, err := w.store.List(callCtx, AuditPrefix, after, auditListLimit)
		cancel()
		if err == nil {
			return entries, nil
		}
		if !ctxtime.Sleep(ctx, retryDelay) {
			return nil, err
		}
	}
}

func decodeAudit(stored store.Entry) AuditEntry {
	entry := AuditEntry{}
	if json.Unmarshal(stored.Value, &entry) == nil {
		return entry
	}
	revision, id, _ := strings.Cut(strings.TrimPrefix(stored.Key, AuditPrefix), "/")
	_, _ = fmt.Sscanf(revision, "%d", &entry.Revision)
	entry.Change = structs.Change{ID: id, Command: "(unreadable entry)"}
	return entry
}
