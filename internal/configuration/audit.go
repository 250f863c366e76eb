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
	// MaxAuditDiffBytes cuts the diff of an entry, far below the store's largest value, so that a page of entries
	// is small too.
	MaxAuditDiffBytes = 16 << 10
	// MaxHistoryPage bounds the revisions of one page.
	MaxHistoryPage = 200
	// auditListLimit is the number of entries per call of the store; with entries of at most 25 KB an answer stays
	// under 3 MB.
	auditListLimit = 100
)

func auditKey(revision structs.Revision, changeID string) string {
	return auditRevisionPrefix(revision) + changeID
}

// auditRevisionPrefix pads the revision so that the key order is the order of revisions.
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

// provenBy reports whether an entry of the next revision names this one's change as the document that its author
// read. Such an entry proves acceptance whether or not it was accepted itself.
func provenBy(entries []AuditEntry, entry AuditEntry) bool {
	return slices.ContainsFunc(entries, func(next AuditEntry) bool {
		return next.Revision == entry.Revision+1 && next.Parent == entry.Change.ID
	})
}

// History returns the audit entries of up to limit revisions below before, newest first. 0 for before starts at the
// newest entry and includes undecided ones. The error is a *StoreError.
func (a *Writer) History(ctx context.Context, before structs.Revision, limit int) (HistoryPage, error) {
	ctx, cancel := context.WithTimeout(ctx, ChangeTimeout)
	defer cancel()
	limit = min(max(limit, 1), MaxHistoryPage)
	// The document is read before the entries: every entry up to its revision has been written by then.
	now, err := a.read(ctx)
	if err != nil {
		return HistoryPage{}, err
	}
	newest := now.document.Revision + 1
	if before == 0 || before > newest {
		before = newest + 1
	}
	from := structs.Revision(1)
	if before > structs.Revision(limit) {
		from = before - structs.Revision(limit)
	}
	entries, err := a.auditEntries(ctx, from, before)
	if err != nil {
		return HistoryPage{}, &StoreError{Err: err}
	}
	return historyPage(entries, now.document, from, before), nil
}

// historyPage keeps the entries with from <= revision < before. The entries of before itself only serve as proof.
func historyPage(entries []AuditEntry, now *structs.Configuration, from, before structs.Revision) HistoryPage {
	page := HistoryPage{}
	for _, entry := range slices.Backward(entries) {
		if entry.Revision < before {
			page.Entries = append(page.Entries, HistoryEntry{AuditEntry: entry, State: auditState(entries, entry, now)})
		}
	}
	if from > 1 {
		page.Next = from
	}
	return page
}

func auditState(entries []AuditEntry, entry AuditEntry, now *structs.Configuration) AuditState {
	switch {
	case entry.Revision == now.Revision && entry.Change.ID == now.Change.ID, provenBy(entries, entry):
		return AuditAccepted
	case entry.Revision == now.Revision, entry.Revision < now.Revision && hasRevision(entries, entry.Revision+1):
		return AuditNotAccepted
	}
	// A stale list can lack the entries of the next revision.
	return AuditUndecided
}

func hasRevision(entries []AuditEntry, revision structs.Revision) bool {
	return slices.ContainsFunc(entries, func(entry AuditEntry) bool { return entry.Revision == revision })
}

// auditEntries returns the entries with from <= revision <= to in key order. An entry that cannot be decoded is
// returned with its revision, so that it stays visible.
func (a *Writer) auditEntries(ctx context.Context, from, to structs.Revision) ([]AuditEntry, error) {
	var found []AuditEntry
	// "/" sorts before "0", so the prefix of the first revision sorts before all of its keys.
	after, end := auditRevisionPrefix(from), auditRevisionPrefix(to+1)
	for {
		entries, err := a.list(ctx, after)
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

func (a *Writer) list(ctx context.Context, after string) ([]store.Entry, error) {
	for {
		call, cancel := context.WithTimeout(ctx, CallTimeout)
		entries, _, err := a.store.List(call, AuditPrefix, after, auditListLimit)
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
	number, id, _ := strings.Cut(strings.TrimPrefix(stored.Key, AuditPrefix), "/")
	_, _ = fmt.Sscanf(number, "%d", &entry.Revision)
	entry.Change = structs.Change{ID: id, Command: "(unreadable entry)"}
	return entry
}
