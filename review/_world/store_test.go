package world

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: rows in tables with one version counter, long polling, and a steady clock.
type store struct {
	mu      sync.Mutex
	started time.Time
	version int64
	tables  map[string]map[string]storeRow
	// history holds all changes in order.
	history []storeRow
	changed chan struct{}
	// era rises by one each time that the store comes back from an older copy, and away is set while it answers nothing but 503.
	era  int
	away bool
}

// storeRow is a row, or the removal of one, as it stands on the wire.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version-number"`
	Removed bool   `json:"removed,omitempty"`

	at time.Time
}

type storePage struct {
	Rows    []storeRow `json:"rows"`
	HasMore bool       `json:"has-more"`
	Version int64      `json:"version-number"`
	Now     int64      `json:"now-ms"`
}

type storeTx struct {
	Expected []struct {
		Table   string `json:"table"`
		Key     string `json:"key"`
		Version int64  `json:"version-number"`
	} `json:"expected-revision"`
	Writes []storeRow `json:"writes"`
	Remove []storeRow `json:"remove"`
}

func newStore() *store {
	return &store{started: time.Now().Add(-time.Minute), era: 1, tables: map[string]map[string]storeRow{}, changed: make(chan struct{})}
}

// put writes a row, as the operator and the engines do, and returns the time of its acknowledgement.
func (s *store) put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, Value: data, Version: s.version})
	return time.Now()
}

// putIfThere writes a row unless the store is away, as an engine's beat does.
func (s *store) putIfThere(table, key string, value any) {
	s.mu.Lock()
	away := s.away
	s.mu.Unlock()
	if !away {
		s.put(table, key, value)
	}
}

// setAway makes the store answer nothing but 503, or answer again.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore brings the store back from a copy of the given age: what was written since is gone, and its versions are given out again.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := time.Now().Add(-age)
	history := s.history
	s.history, s.tables, s.version = nil, map[string]map[string]storeRow{}, 0
	for _, r := range history {
		if r.at.Before(copied) {
			s.version = r.Version
			s.apply(r)
		}
	}
	s.era++
	s.away = false
}

func (s *store) apply(r storeRow) {
	if r.at.IsZero() {
		r.at = time.Now()
	}
	t := s.tables[r.Table]
	if t == nil {
		t = map[string]storeRow{}
		s.tables[r.Table] = t
	}
	if r.Removed {
		delete(t, r.Key)
	} else {
		t[r.Key] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	s.mu.Lock()
	era, away := s.era, s.away
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, q.Get("table"), q.Get("from"), q.Get("target"))
	case "/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after-revision"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.feed(w, r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, table, from, target string) {
	s.mu.Lock()
	p := storePage{Rows: []storeRow{}, Version: s.version, Now: s.now()}
	for key, row := range s.tables[table] {
		if key >= from && (target == "" || key < target) {
			p.Rows = append(p.Rows, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(p.Rows, func(a, b int) bool { return p.Rows[a].Key < p.Rows[b].Key })
	_ = json.NewEncoder(w).Encode(p)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		p := storePage{Rows: []storeRow{}, Version: s.version, Now: s.now()}
		changed, away, gone := s.changed, s.away, s.era != era || after > s.version
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		newest := map[string]storeRow{}
		for _, row := range s.history {
			if row.Table == table && row.Version > after {
				newest[row.Key] = row
			}
		}
		s.mu.Unlock()
		switch {
		case away:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		}
		for _, row := range newest {
			p.Rows = append(p.Rows, row)
		}
		sort.Slice(p.Rows, func(a, b int) bool { return p.Rows[a].Version < p.Rows[b].Version })
		expired := false
		if len(p.Rows) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timer.C:
				expired = true
			}
		}
		if len(p.Rows) > 0 || expired {
			_ = json.NewEncoder(w).Encode(p)
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t storeTx
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.tables[e.Table][e.Key].Version != e.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			fmt.Fprintf(w, `{"rows":[],"version-number":%d,"now-ms":%d}`, s.version, s.now())
			return
		}
	}
	s.version++
	for _, row := range t.Writes {
		row.Version = s.version
		s.apply(row)
	}
	for _, row := range t.Remove {
		row.Version, row.Removed = s.version, true
		s.apply(row)
	}
	fmt.Fprintf(w, `{"version-number":%d,"now-ms":%d}`, s.version, s.now())
}
