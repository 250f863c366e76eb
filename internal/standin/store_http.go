package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/platform"
)

// maxRequestBytes bounds the body of a request. It leaves room for the largest value in base64 and the rest of the JSON.
const maxRequestBytes = 2 * store.MaxValueBytes

// maxPageItems and maxPageBytes bound one page of a range, as the platform's store does.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// kindStatus maps kinds of errors to the HTTP statuses of the platform's store.
var kindStatus = map[store.Kind]int{
	store.KindUnavailable: http.StatusServiceUnavailable,
	store.KindNotFound:    http.StatusNotFound,
	store.KindConflict:    http.StatusPreconditionFailed,
	store.KindCompacted:   http.StatusGone,
	store.KindTooLarge:    http.StatusRequestEntityTooLarge,
	store.KindInvalid:     http.StatusBadRequest,
}

// errMultipleKeys is the error for a transaction that does not change exactly one key. rosedrift sends none.
var errMultipleKeys = errors.New("the stand-in takes transactions of one key only")

// Handler returns the HTTP interface of the platform's store. In addition, POST /faults replaces the faults (StoreFaults)
// and GET /stats returns the counters (StoreStats).
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathStoreKey, s.handleGet)
	mux.HandleFunc("GET "+platform.PathStoreRange, s.handleList)
	mux.HandleFunc("GET "+platform.PathStoreWatch, s.handleWatch)
	mux.HandleFunc("POST "+platform.PathStoreTxn, s.handleTxn)
	mux.HandleFunc("POST "+platform.PathStoreLease, s.handleGrant)
	mux.HandleFunc("POST "+platform.PathStoreKeep+"{id}", s.handleKeepAlive)
	mux.HandleFunc("DELETE "+platform.PathStoreLeaseEnd+"{id}", s.handleRevoke)
	mux.HandleFunc("POST /faults", s.handleFaults)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeAnswer(w, s.Stats(), nil) })
	return mux
}

// writeAnswer sends the answer or, if err is set, the error. To lose an answer, it closes the connection.
func writeAnswer(w http.ResponseWriter, answer any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err == nil {
		_ = json.NewEncoder(w).Encode(answer) // if this fails, the client has disconnected
		return
	}
	if store.IsOutcomeUnknown(err) {
		panic(http.ErrAbortHandler)
	}
	kind := store.KindInvalid
	var e *store.Error
	if errors.As(err, &e) {
		kind = e.Kind
	}
	status := kindStatus[kind]
	if errors.Is(err, errBudget) {
		status = http.StatusTooManyRequests
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Error string `json:"error"`
	}{err.Error()})
}

// decodeBody decodes the body of a request. If it is malformed or too large, decodeBody answers and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(into)
	if err != nil {
		writeAnswer(w, nil, err)
	}
	return err == nil
}

func toItem(entry store.Entry) platform.StoreItem {
	return platform.StoreItem{
		Key: entry.Key, Value: entry.Value, Revision: entry.Version, Lease: uint64(entry.Lease),
	}
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	entry, err := s.Get(r.Context(), r.URL.Query().Get("key"))
	writeAnswer(w, toItem(entry), err)
}

// handleTxn serves transactions of one key; rosedrift sends no others.
func (s *Store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var txn platform.StoreTxn
	if !decodeBody(w, r, &txn) {
		return
	}
	if len(txn.Put)+len(txn.Remove) != 1 || len(txn.Conditions) > 1 {
		writeAnswer(w, nil, &store.Error{Op: "txn", Kind: store.KindInvalid, Err: errMultipleKeys})
		return
	}
	expectedVersion := store.AnyVersion
	if len(txn.Conditions) == 1 {
		expectedVersion = txn.Conditions[0].Revision
	}
	revision, err := s.applyTxn(r.Context(), txn, expectedVersion)
	missingLease := len(txn.Put) == 1 && store.IsKind(err, store.KindNotFound)
	if !missingLease && (store.IsKind(err, store.KindConflict) || store.IsKind(err, store.KindNotFound)) {
		s.writeConflict(w, r, txn)
		return
	}
	writeAnswer(w, platform.StoreTxnAnswer{Revision: revision}, err)
}

func (s *Store) applyTxn(ctx context.Context, txn platform.StoreTxn, expectedVersion uint64) (uint64, error) {
	if len(txn.Put) == 1 {
		put := txn.Put[0]
		return s.Put(ctx, put.Key, put.Value, expectedVersion, store.LeaseID(put.Lease))
	}
	return 0, s.Delete(ctx, txn.Remove[0], expectedVersion)
}

// writeConflict answers with the current items of the keys in the transaction's conditions.
func (s *Store) writeConflict(w http.ResponseWriter, r *http.Request, txn platform.StoreTxn) {
	var answer platform.StoreTxnAnswer
	for _, condition := range txn.Conditions {
		item := platform.StoreItem{Key: condition.Key}
		if entry, err := s.Get(r.Context(), condition.Key); err == nil {
			item = toItem(entry)
		}
		answer.Items = append(answer.Items, item)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusPreconditionFailed)
	_ = json.NewEncoder(w).Encode(answer) // if this fails, the client has disconnected
}

func (s *Store) handleList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	entries, revision, err := s.List(r.Context(), query.Get("prefix"), query.Get("after"), maxPageItems+1)
	page := platform.StorePage{StoreRevision: revision}
	size := 0
	for _, entry := range entries {
		if page.MorePages = len(page.Items) == maxPageItems || size >= maxPageBytes; page.MorePages {
			break
		}
		page.Items, size = append(page.Items, toItem(entry)), size+len(entry.Value)
	}
	writeAnswer(w, page, err)
}

func (s *Store) handleGrant(w http.ResponseWriter, r *http.Request) {
	var body platform.StoreLease
	if !decodeBody(w, r, &body) {
		return
	}
	lease, err := s.GrantLease(r.Context(), milliseconds(body.TTLMs))
	writeAnswer(w, platform.StoreLease{Lease: uint64(lease), TTLMs: body.TTLMs}, err)
}

func parseLeaseID(r *http.Request) (store.LeaseID, error) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	return store.LeaseID(id), err
}

func (s *Store) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	lease, err := parseLeaseID(r)
	if err == nil {
		err = s.KeepAlive(r.Context(), lease)
	}
	writeAnswer(w, struct{}{}, err)
}

func (s *Store) handleRevoke(w http.ResponseWriter, r *http.Request) {
	lease, err := parseLeaseID(r)
	if err == nil {
		err = s.Revoke(r.Context(), lease)
	}
	writeAnswer(w, struct{}{}, err)
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		writeAnswer(w, nil, err)
		return
	}
	wait, err := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil {
		writeAnswer(w, nil, err)
		return
	}
	events, revision, err := s.Watch(r.Context(), query.Get("prefix"), after, milliseconds(wait))
	answer := platform.StoreEvents{StoreRevision: revision}
	for _, event := range events {
		item := toItem(event.Entry)
		item.Revision, item.Removed = event.Revision, event.Deleted
		answer.Events = append(answer.Events, item)
	}
	writeAnswer(w, answer, err)
}

func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults StoreFaults
	if !decodeBody(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	writeAnswer(w, struct{}{}, nil)
}
