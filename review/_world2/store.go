package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store of rows. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	began   time.Time
	version int64
	rows    map[string]map[string]row
	log     []row
	changed chan struct{}
}

// row is a row, or the removal of one, on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version-number"`
	Removed bool   `json:"removed,omitempty"`
}

type page struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"has-more"`
	Version int64 `json:"version-number"`
	NowMS   int64 `json:"now-ms"`
}

type transaction struct {
	Expected []row `json:"expected-revision"`
	Writes   []row `json:"writes"`
	Remove   []row `json:"remove"`
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[string]map[string]row{}, changed: make(chan struct{})}
}

// put writes a row as the operator or an engine does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: data, Version: s.version})
}

// count returns the number of rows of a table.
func (s *store) count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows[table])
}

func (s *store) apply(r row) {
	if s.rows[r.Table] == nil {
		s.rows[r.Table] = map[string]row{}
	}
	if r.Removed {
		delete(s.rows[r.Table], r.Key)
	} else {
		s.rows[r.Table][r.Key] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	return mux
}

func (s *store) newPage(rows []row) page {
	if rows == nil {
		rows = []row{}
	}
	return page{Rows: rows, Version: s.version, NowMS: time.Since(s.began).Milliseconds() + 1000}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for key, r := range s.rows[q.Get("table")] {
		if key >= q.Get("from") && (q.Get("target") == "" || key < q.Get("target")) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	p := s.newPage(rows[:min(limit, len(rows))])
	p.HasMore = len(rows) > limit
	respond(w, http.StatusOK, p)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after-revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p, changed := s.newPage(s.changes(q.Get("table"), after)), s.changed
		s.mu.Unlock()
		if len(p.Rows) > 0 {
			respond(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-expired:
			respond(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changes(table string, after int64) []row {
	latest := map[string]row{}
	for _, r := range s.log {
		if r.Table == table && r.Version > after {
			latest[r.Key] = r
		}
	}
	var rows []row
	for _, r := range latest {
		rows = append(rows, r)
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Version < rows[b].Version })
	return rows
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range append(t.Writes, t.Remove...) {
		if write.Table == "op" || write.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []row
	conflict := false
	for _, e := range t.Expected {
		known, ok := s.rows[e.Table][e.Key]
		if ok {
			current = append(current, known)
		}
		conflict = conflict || known.Version != e.Version
	}
	if conflict {
		respond(w, http.StatusPreconditionFailed, s.newPage(current))
		return
	}
	s.version++
	for _, write := range t.Writes {
		write.Version, write.Removed = s.version, false
		s.apply(write)
	}
	for _, removal := range t.Remove {
		removal.Version, removal.Removed, removal.Value = s.version, true, nil
		s.apply(removal)
	}
	respond(w, http.StatusOK, s.newPage(nil))
}

func respond(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
