package world3

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	model      = "daka510000"
	layerCount = 16
	pieceCount = 96
	pieceBytes = 24576
	warmup     = 300 * time.Millisecond
	heartbeat  = 1200 * time.Millisecond
)

// pieceOf returns the content of a piece of a version.
func pieceOf(version int64, index int) []byte {
	data := make([]byte, pieceBytes)
	r := rand.NewChaCha8(sha256.Sum256(fmt.Appendf(nil, "%d/%d", version, index)))
	_, _ = r.Read(data)
	return data
}

// arrival is a request that has reached a server.
type arrival struct {
	id, from, instance string
	at                 time.Time
	ran, leaving       bool
	version            int64
	parts              []string
	tenant             string
}

// engine is a stand-in for a server: a plain one, or a model engine.
type engine struct {
	w       *world
	service string
	zone    string
	ip      string
	slots   int
	isModel bool
	// work is the time of a plain request, and events and gap those of a stream.
	work   time.Duration
	events int
	gap    time.Duration
	// unframed makes a stream come with neither a length nor chunks, so that it ends with its connection.
	unframed bool
	// cutTime is the time for which a cut of the server from all machines, behind which it crashes, holds back the ends of its connections.
	cutTime time.Duration
	// deadly is the part of a prompt that crashes the engine, and downTime how long it is away then.
	deadly   string
	downTime time.Duration

	mu        sync.Mutex
	id        string
	born      int64
	state     string
	coldUntil time.Time
	beats     int64
	beating   bool
	// leaving is set once the server says in its answers that it leaves. lateBeat is the time after which the next beat is done; it gets no answer.
	leaving  bool
	lateBeat time.Duration
	lis      net.Listener
	server   *http.Server
	stopped  chan struct{}
	running  int
	arrivals []arrival
	hijacked map[net.Conn]bool
	crashes  []time.Time

	// The weights of a model engine.
	staged   map[int][]byte
	from, to int
	version  int64
	busy     bool
	sequence int64
}

// newEngine returns a server on a machine of its own.
func (w *world) newEngine(service, zone string, isModel bool) *engine {
	e := &engine{w: w, service: service, zone: zone, ip: w.newIP(), slots: 6, isModel: isModel, work: 15 * time.Millisecond, events: 14, gap: 45 * time.Millisecond, downTime: 3 * time.Second, state: "ready"}
	if isModel {
		e.slots, e.staged, e.to, e.version = 16, map[int][]byte{}, layerCount, 1
		for i := range pieceCount {
			e.staged[i] = pieceOf(1, i)
		}
	}
	return e
}

func (e *engine) address() string { return fmt.Sprintf("%s:%d", e.ip, enginePort) }

// run starts the server as a new incarnation.
func (e *engine) run() {
	lis, err := net.Listen("tcp", e.address())
	if err != nil {
		fatal("listen for a server: %v", err)
	}
	e.mu.Lock()
	e.id, e.born, e.lis, e.stopped = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli(), lis, make(chan struct{})
	e.running, e.sequence, e.busy, e.beating = 0, 0, false, true
	stopped := e.stopped
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", e.health)
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("PUT /stage-put/{model}", e.stagePut)
	mux.HandleFunc("GET /stage-get/{model}", e.stageGet)
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	server := e.server
	e.mu.Unlock()
	e.beat()
	go func() { _ = server.Serve(lis) }()
	go func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(heartbeat):
				e.beat()
			}
		}
	}()
	e.w.log("server %s of %s starts at %s", e.id, e.service, e.address())
}

// beat writes the server's row.
func (e *engine) beat() {
	e.mu.Lock()
	if !e.beating {
		e.mu.Unlock()
		return
	}
	e.beats++
	r := e.describe()
	r["service"], r["address"], r["zone"], r["version"], r["slots"], r["state"] = e.service, e.address(), e.zone, "v1", e.slots, e.state
	r["cold-remaining-ms"] = max(time.Until(e.coldUntil).Milliseconds(), 0)
	r["sequence"], r["stage"] = e.beats, "both"
	id, late := e.id, e.lateBeat
	e.lateBeat = 0
	e.mu.Unlock()
	if late == 0 {
		e.w.store.put("servers", id, r)
		return
	}
	e.w.log("the write of beat %v of server %s (%v) gets no answer; it is done %s later", r["sequence"], id, r["state"], late)
	time.AfterFunc(late, func() {
		e.w.store.put("servers", id, r)
		e.w.log("the late write of beat %v of server %s (%v) is done", r["sequence"], id, r["state"])
	})
}

// leave makes the server report that it is draining, and say so in all its answers.
func (e *engine) leave() {
	e.mu.Lock()
	e.state, e.leaving = "draining", true
	e.mu.Unlock()
	e.beat()
	e.w.log("server %s reports that it is draining", e.id)
}

// describe returns what a server says of its weights. The lock is held.
func (e *engine) describe() map[string]any {
	r := map[string]any{"born": e.born}
	if !e.isModel {
		return r
	}
	r["models"], r["layers"] = []any{}, map[string]any{"from": 0, "target": 0, "version": 0}
	if e.version > 0 {
		r["models"] = []any{map[string]any{"name": model, "version": e.version, "adapters": []any{}}}
		r["layers"] = map[string]any{"from": e.from, "target": e.to, "version": e.version}
	}
	return r
}

// crash ends the server at once. Its row lapses after three heartbeats, and it is back after downTime with what was staged.
func (e *engine) crash() {
	e.mu.Lock()
	select {
	case <-e.stopped:
		e.mu.Unlock()
		return
	default:
	}
	close(e.stopped)
	e.beating = false
	e.crashes = append(e.crashes, time.Now())
	e.from, e.to, e.version = 0, 0, 0
	server, id, conns, cutTime := e.server, e.id, e.hijacked, e.cutTime
	e.hijacked = nil
	e.mu.Unlock()
	e.w.log("server %s crashes, cut off for %s", id, cutTime)
	_ = server.Close()
	time.AfterFunc(cutTime, func() {
		for c := range conns {
			_ = c.Close() // As the kernel does when a process ends.
		}
		e.w.log("the ends of %d connections of server %s arrive", len(conns), id)
	})
	go func() {
		time.AfterFunc(3*heartbeat, func() { e.w.store.remove("servers", id) })
		time.Sleep(e.downTime)
		e.run()
	}()
}

func (e *engine) health(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("X-Fulmarrail-Instance-Id", e.id)
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	r := e.describe()
	r["stage"], r["busy"], r["sequence"], r["waiting"], r["running"], r["handles"] = "both", e.busy, e.sequence, 0, e.running, 0
	r["kv-cache-used"], r["kv-cache-total"] = 0, 1180000
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Strategy string
		Version                    int64
		From, Target               *int
		Expected                   *int64 `json:"expected-revision"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Operation != "start" {
		http.Error(w, "no such order", http.StatusBadRequest)
		return
	}
	from, to := 0, layerCount
	if o.From != nil {
		from = *o.From
	}
	if o.Target != nil {
		to = *o.Target
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy || o.Expected != nil && *o.Expected != e.sequence:
		http.Error(w, "the order does not fit", http.StatusConflict)
		return
	case o.Version == e.version && from == e.from && to == e.to:
		w.WriteHeader(http.StatusOK)
		return
	}
	e.sequence++
	missing := to - from
	if o.Version == e.version && e.from == from {
		missing = max(to-e.to, 0)
	} else {
		e.from, e.to, e.version = 0, 0, 0
	}
	e.busy = true
	e.w.log("server %s is ordered to hold layers %d to %d of version %d", e.id, from, to, o.Version)
	stopped := e.stopped
	time.AfterFunc(warmup*time.Duration(missing)/layerCount, func() {
		e.mu.Lock()
		select {
		case <-stopped:
			e.mu.Unlock()
			return
		default:
		}
		e.busy, e.from, e.to, e.version = false, from, to, o.Version
		e.mu.Unlock()
		e.beat()
	})
	w.WriteHeader(http.StatusAccepted)
}

func (e *engine) stagePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	i, convErr := strconv.Atoi(r.URL.Query().Get("item-count"))
	if err != nil || convErr != nil {
		http.Error(w, "bad piece", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[i] = data
}

func (e *engine) stageGet(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	text := r.URL.Query().Get("item-count")
	if text == "" {
		held := []int{}
		for i := range e.staged {
			held = append(held, i)
		}
		sort.Ints(held)
		_ = json.NewEncoder(w).Encode(map[string]any{"held": held})
		return
	}
	i, _ := strconv.Atoi(text)
	data, ok := e.staged[i]
	if !ok {
		http.Error(w, "not there", http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

// arrive records a request, and reports whether it runs, or else with which status it is turned away.
func (e *engine) arrive(r *http.Request) (a arrival, status int) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	a = arrival{id: r.Header.Get("X-Fulmarrail-Request-Id"), from: host, at: time.Now(), tenant: r.Header.Get("X-Fulmarrail-Tenant")}
	for _, entry := range strings.Split(r.Header.Get("X-Fulmarrail-Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(entry, ":")
		a.parts = append(a.parts, id)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	a.instance, a.version, a.leaving = e.id, e.version, e.leaving
	expected := r.Header.Get("X-Fulmarrail-Expected-Instance")
	version := r.Header.Get("X-Fulmarrail-Expected-Version")
	switch {
	case expected != "" && expected != e.id, e.isModel && version != "" && version != strconv.FormatInt(e.version, 10):
		return a, http.StatusMisdirectedRequest
	case e.isModel && (e.to-e.from != layerCount || e.busy):
		return a, http.StatusMisdirectedRequest
	case e.running >= e.slots+24:
		status = http.StatusServiceUnavailable
	default:
		e.running++
		a.ran = true
	}
	e.arrivals = append(e.arrivals, a)
	return a, status
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	a, status := e.arrive(r)
	h := w.Header()
	h.Set("X-Fulmarrail-Request-Id", a.id)
	h.Set("X-Fulmarrail-Instance-Id", a.instance)
	if a.leaving {
		h.Set("Server-Leaving", "1")
	}
	if !a.ran {
		h.Set("X-Fulmarrail-Not-Executed", "1")
		e.w.log("server %s turns request %s away with %d", a.instance, a.id, status)
		w.WriteHeader(status)
		return
	}
	stopped := e.stopped
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.w.log("server %s gets request %s from %s", a.instance, a.id, a.from)
	_, _ = io.Copy(io.Discard, r.Body)
	h.Set("X-Fulmarrail-Response-Seal", "3e1b.07."+a.id)
	if !e.isModel {
		if !pause(r, stopped, e.work) {
			return
		}
		body := strings.Repeat("x", 800)
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
		return
	}
	if !pause(r, stopped, 60*time.Millisecond) {
		return
	}
	if e.deadly != "" {
		for _, part := range a.parts[:len(a.parts)-1] {
			if part == e.deadly {
				e.crash()
				<-r.Context().Done()
				return
			}
		}
	}
	if e.unframed {
		e.streamUnframed(w, r, a, stopped)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Fulmarrail-Weight-Versions", strconv.FormatInt(a.version, 10))
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= e.events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("y", 50))
		_ = http.NewResponseController(w).Flush()
		if !pause(r, stopped, e.gap) {
			panic(http.ErrAbortHandler)
		}
	}
}

// streamUnframed sends a stream that ends with its connection.
func (e *engine) streamUnframed(w http.ResponseWriter, r *http.Request, a arrival, stopped <-chan struct{}) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	e.mu.Lock()
	if e.hijacked == nil {
		e.hijacked = map[net.Conn]bool{}
	}
	e.hijacked[c] = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.hijacked[c] { // Otherwise, the crash closes it.
			delete(e.hijacked, c)
			_ = c.Close()
		}
	}()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Fulmarrail-Request-Id: %s\r\nX-Fulmarrail-Response-Seal: 3e1b.07.%s\r\nX-Fulmarrail-Weight-Versions: %d\r\n\r\n", a.id, a.id, a.version)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= e.events; n++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: %s\n\n", n, strings.Repeat("y", 50)); err != nil {
			return // The caller has left.
		}
		select {
		case <-stopped:
			e.w.log("server %s ends with %d of %d events of request %s sent", a.instance, n, e.events, a.id)
			return
		case <-time.After(e.gap):
		}
	}
}

// pause waits, and reports false if the caller leaves or the server ends before.
func pause(r *http.Request, stopped <-chan struct{}, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	case <-stopped:
		return false
	}
}

// all returns the requests that have reached the server.
func (e *engine) all() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

// serveOrigin runs the origin of the weights.
func (w *world) serveOrigin() (address string) {
	address = fmt.Sprintf("%s:%d", w.newIP(), 8006)
	lis, err := net.Listen("tcp", address)
	if err != nil {
		fatal("listen for the origin: %v", err)
	}
	newest := int64(2)
	var link sync.Mutex
	mux := http.NewServeMux()
	mux.HandleFunc("GET /manifest/{model}", func(rw http.ResponseWriter, r *http.Request) {
		version := newest
		if v, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64); err == nil {
			version = v
		}
		digests := []string{}
		for i := range pieceCount {
			sum := sha256.Sum256(pieceOf(version, i))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(map[string]any{"model": model, "version": version, "chunk-bytes": pieceBytes, "layers": layerCount, "digests": digests})
	})
	mux.HandleFunc("GET /piece/{model}", func(rw http.ResponseWriter, r *http.Request) {
		version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
		i, _ := strconv.Atoi(r.URL.Query().Get("item-count"))
		link.Lock()
		time.Sleep(27 * time.Millisecond) // A piece at 7.3 Mbit/s, which all pieces share.
		link.Unlock()
		_, _ = rw.Write(pieceOf(version, i))
	})
	go func() { _ = http.Serve(lis, mux) }()
	return address
}
