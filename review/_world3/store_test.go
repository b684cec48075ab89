package world3

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowKey identifies a row of the store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row as the store sends it.
type row struct {
	rowKey
	Value   []byte `json:"value"`
	Version int64  `json:"version-number"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store. It loses nothing and its answers are linearizable.
type store struct {
	mu      sync.Mutex
	start   time.Time
	version int64
	rows    map[rowKey]row
	history []row
	changed chan struct{}
	// delay is added to each answer.
	delay time.Duration
}

func newStore() *store {
	return &store{start: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
}

// put writes a row, and returns when that is acknowledged.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(rowKey{Table: table, Key: key}, data, false)
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(rowKey{Table: table, Key: key}, nil, true)
}

// keys returns the keys of a table.
func (s *store) keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for k := range s.rows {
		if k.Table == table {
			list = append(list, k.Key)
		}
	}
	sort.Strings(list)
	return list
}

// write changes a row. The lock is held.
func (s *store) write(k rowKey, value []byte, removed bool) {
	s.version++
	r := row{rowKey: k, Value: value, Version: s.version, Removed: removed}
	if removed {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(address string) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		fatal("listen for the store: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	go func() { _ = http.Serve(lis, mux) }()
}

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	time.Sleep(4*time.Millisecond + s.delay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// page returns the fields of an answer. The lock is held.
func (s *store) page(rows []row) map[string]any {
	if rows == nil {
		rows = []row{}
	}
	return map[string]any{"rows": rows, "has-more": false, "version-number": s.version, "now-ms": time.Since(s.start).Milliseconds()}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var list []row
	for k, v := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("target") == "" || k.Key < q.Get("target")) {
			list = append(list, v)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	body := s.page(list)
	s.mu.Unlock()
	s.reply(w, http.StatusOK, body)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after-revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for last := false; ; {
		s.mu.Lock()
		var list []row
		for _, v := range s.history {
			if v.Table == q.Get("table") && v.Part == q.Get("part") && v.Version > after {
				list = append(list, v)
			}
		}
		body, changed := s.page(list), s.changed
		s.mu.Unlock()
		if len(list) > 0 || last || wait == 0 {
			s.reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			rowKey
			Version int64 `json:"version-number"`
		} `json:"expected-revision"`
		Writes []struct {
			rowKey
			Value []byte `json:"value"`
		} `json:"writes"`
		Remove []rowKey `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		s.reply(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	s.mu.Lock()
	status := http.StatusOK
	var current []row
	for _, e := range t.Expected {
		v := s.rows[e.rowKey]
		if v.Version != e.Version {
			status = http.StatusPreconditionFailed
		}
		if v.Version > 0 {
			current = append(current, v)
		}
	}
	for _, x := range t.Writes {
		if x.Table == "op" || x.Table == "servers" {
			status = http.StatusForbidden
		}
	}
	if status == http.StatusOK {
		current = nil
		for _, x := range t.Writes {
			s.write(x.rowKey, x.Value, false)
		}
		for _, x := range t.Remove {
			s.write(x, nil, true)
		}
	}
	body := s.page(current)
	s.mu.Unlock()
	s.reply(w, status, body)
}
