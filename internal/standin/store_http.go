package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"rosedrift.example/rosedrift/internal/store"
)

// maxRequestBytes bounds the body of a request: the largest value in base64 and some room.
const maxRequestBytes = 2 * store.MaxValueBytes

var kindStatus = map[store.Kind]int{
	store.KindUnavailable: http.StatusServiceUnavailable,
	store.KindNotFound:    http.StatusNotFound,
	store.KindConflict:    http.StatusConflict,
	store.KindCompacted:   http.StatusGone,
	store.KindTooLarge:    http.StatusRequestEntityTooLarge,
	store.KindInvalid:     http.StatusBadRequest,
}

// Handler returns the HTTP interface of the store with the additions POST /faults (StoreFaults, the answer is empty)
// and GET /stats (StoreStats).
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.handleGet)
	mux.HandleFunc("PUT /v1/kv/{key...}", s.handlePut)
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.handleDelete)
	mux.HandleFunc("GET /v1/kv", s.handleList)
	mux.HandleFunc("POST /v1/leases", s.handleGrant)
	mux.HandleFunc("PUT /v1/leases/{id}", s.handleKeepAlive)
	mux.HandleFunc("DELETE /v1/leases/{id}", s.handleRevoke)
	mux.HandleFunc("GET /v1/watch", s.handleWatch)
	mux.HandleFunc("POST /faults", s.handleFaults)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeAnswer(w, s.Stats(), nil) })
	return mux
}

// writeAnswer sends the answer or the error. A lost answer is a closed connection.
func writeAnswer(w http.ResponseWriter, answer any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err == nil {
		_ = json.NewEncoder(w).Encode(answer) // the caller is gone if this fails
		return
	}
	if store.IsUnknown(err) {
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
	_ = json.NewEncoder(w).Encode(store.ErrorAnswer{Kind: kind.Word(), Detail: err.Error()})
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(into)
	if err != nil {
		writeAnswer(w, nil, err)
	}
	return err == nil
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	entry, err := s.Get(r.Context(), r.PathValue("key"))
	writeAnswer(w, entry, err)
}

func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	var body store.PutRequest
	if !decodeBody(w, r, &body) {
		return
	}
	expect := store.AnyVersion
	if body.Expect != nil {
		expect = *body.Expect
	}
	version, err := s.Put(r.Context(), r.PathValue("key"), body.Value, expect, body.Lease)
	writeAnswer(w, store.PutAnswer{Version: version}, err)
}

func (s *Store) handleDelete(w http.ResponseWriter, r *http.Request) {
	expect := store.AnyVersion
	if text := r.URL.Query().Get("expect"); text != "" {
		var err error
		if expect, err = strconv.ParseUint(text, 10, 64); err != nil {
			writeAnswer(w, nil, err)
			return
		}
	}
	err := s.Delete(r.Context(), r.PathValue("key"), expect)
	writeAnswer(w, struct{}{}, err)
}

func (s *Store) handleList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := 0
	if text := query.Get("limit"); text != "" {
		var err error
		if limit, err = strconv.Atoi(text); err != nil {
			writeAnswer(w, nil, err)
			return
		}
	}
	entries, revision, err := s.List(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	writeAnswer(w, store.ListAnswer{Entries: entries, Revision: revision}, err)
}

func (s *Store) handleGrant(w http.ResponseWriter, r *http.Request) {
	var body store.LeaseRequest
	if !decodeBody(w, r, &body) {
		return
	}
	lease, err := s.GrantLease(r.Context(), milliseconds(body.TTLMilliseconds))
	writeAnswer(w, store.LeaseAnswer{Lease: lease}, err)
}

func leaseOf(r *http.Request) (store.LeaseID, error) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	return store.LeaseID(id), err
}

func (s *Store) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	lease, err := leaseOf(r)
	if err == nil {
		err = s.KeepAlive(r.Context(), lease)
	}
	writeAnswer(w, struct{}{}, err)
}

func (s *Store) handleRevoke(w http.ResponseWriter, r *http.Request) {
	lease, err := leaseOf(r)
	if err == nil {
		err = s.Revoke(r.Context(), lease)
	}
	writeAnswer(w, struct{}{}, err)
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("revision"), 10, 64)
	if err != nil {
		writeAnswer(w, nil, err)
		return
	}
	wait, err := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil {
		writeAnswer(w, nil, err)
		return
	}
	events, revision, err := s.Watch(r.Context(), query.Get("prefix"), after, milliseconds(wait))
	writeAnswer(w, store.WatchAnswer{Events: events, Revision: revision}, err)
}

func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults StoreFaults
	if !decodeBody(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	writeAnswer(w, struct{}{}, nil)
}
