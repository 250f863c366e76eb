package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the platform's store as PROTOCOL.md describes it. Removed marks the event of a removal.
type storeItem struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"createRevision,omitempty"`
	Lease          uint64 `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's key-value store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	leases   map[uint64]*storeLease
	changed  chan struct{}
}

func newStore() *store {
	s := &store{revision: 100, items: map[string]storeItem{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
}

// remove removes a key at the current revision. The caller holds s.mu and has raised the revision.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.note(storeItem{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) note(e storeItem) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(key string, value []byte, lease uint64) {
	item := storeItem{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.CreateRevision = old.CreateRevision
	}
	s.items[key] = item
	s.note(item)
}

// operatorPut writes a key as the operator does.
func (s *store) operatorPut(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, raw, 0)
}

func (s *store) operatorRemove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

// storeFault is what one process meets at the store.
type storeFault int

const (
	storeSound storeFault = iota
	storeBusy
	storeSilent
)

// storePort is the address at which one process reaches the store, so that faults can concern a single process.
type storePort struct {
	store   *store
	address string
	mu      sync.Mutex
	fault   storeFault
}

func (p *storePort) setFault(f storeFault) {
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
}

func (s *store) listen(ip string) (*storePort, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &storePort{store: s, address: l.Addr().String()}
	mux := s.handler()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			p.mu.Lock()
			fault := p.fault
			p.mu.Unlock()
			switch fault {
			case storeBusy:
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			case storeSilent:
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			time.Sleep(4 * time.Millisecond)
			mux.ServeHTTP(w, r)
		}))
	}()
	return p, nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		item, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			writeJSON(w, http.StatusNotFound, map[string]any{"storeRevision": s.revision})
			return
		}
		writeJSON(w, http.StatusOK, struct {
			storeItem
			StoreRevision uint64 `json:"storeRevision"`
		}{item, s.revision})
	})
	mux.HandleFunc("GET /v1/kv-range", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		q := r.URL.Query()
		items := []storeItem{}
		for key, item := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				items = append(items, item)
			}
		}
		sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
		more := len(items) > 500
		if more {
			items = items[:500]
		}
		writeJSON(w, http.StatusOK, map[string]any{"items": items, "morePages": more, "storeRevision": s.revision})
	})
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ TTLMs int64 }
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ttl := time.Duration(min(max(body.TTLMs, 1000), 600_000)) * time.Millisecond
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revision++
		s.leases[s.revision] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
		writeJSON(w, http.StatusOK, map[string]any{"lease": s.revision, "ttlMs": ttl.Milliseconds()})
	})
	lease := func(f func(id uint64, l *storeLease)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
			s.mu.Lock()
			defer s.mu.Unlock()
			l := s.leases[id]
			if l == nil {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			f(id, l)
			writeJSON(w, http.StatusOK, map[string]any{})
		}
	}
	mux.HandleFunc("POST /v1/kv-keep/{id}", lease(func(_ uint64, l *storeLease) { l.end = time.Now().Add(l.ttl) }))
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", lease(func(id uint64, _ *storeLease) { s.endLease(id) }))
	return mux
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectedRev []struct {
			Key      string
			Revision uint64
		}
		SetKeys []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Remove []string
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range body.ExpectedRev {
		if s.items[c.Key].Revision != c.Revision {
			items := []storeItem{}
			for _, c := range body.ExpectedRev {
				if item, ok := s.items[c.Key]; ok {
					items = append(items, item)
				}
			}
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": items})
			return
		}
	}
	for _, p := range body.SetKeys {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range body.SetKeys {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}
