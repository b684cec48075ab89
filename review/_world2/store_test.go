package world2

import (
	"encoding/json"
	"maps"
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
	// era counts the restores, kept is the version from which on the changes are known, and away is set while the store answers nobody.
	era    int64
	kept   int64
	away   bool
	copies []storeCopy
}

// storeCopy is the state of the store at some time.
type storeCopy struct {
	at      time.Time
	version int64
	rows    map[string]map[string]row
}

const (
	// copyInterval is the time between two copies.
	copyInterval = 250 * time.Millisecond
	headerEra    = "Store-Era"
)

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

// keepCopies makes copies until the process ends.
func (s *store) keepCopies() {
	for ; ; time.Sleep(copyInterval) {
		s.mu.Lock()
		c := storeCopy{at: time.Now(), version: s.version, rows: map[string]map[string]row{}}
		for table, rows := range s.rows {
			c.rows[table] = maps.Clone(rows)
		}
		s.copies = append(s.copies, c)
		s.mu.Unlock()
	}
}

// setAway makes the store answer nobody, or answer again.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore brings the store back from the newest copy that was made before a time. What was written since is lost, and numbers are given out again.
func (s *store) restore(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.copies) - 1
	for n > 0 && s.copies[n].at.After(before) {
		n--
	}
	c := s.copies[n]
	s.rows, s.version, s.copies, s.log = c.rows, c.version, nil, nil
	s.era++
	s.kept = c.version
	s.away = false
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
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		if away {
			reset(w)
			return
		}
		w.Header().Set(headerEra, strconv.FormatInt(era, 10))
		mux.ServeHTTP(w, r)
	})
}

// reset closes a connection without an answer.
func reset(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
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
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		p, changed := s.newPage(s.changes(q.Get("table"), after)), s.changed
		gone, lost := after < s.kept || after > s.version, s.away || s.era != era
		s.mu.Unlock()
		switch {
		case lost:
			reset(w)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		}
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
