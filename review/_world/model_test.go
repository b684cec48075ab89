package world

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelName    = "daka510000"
	modelService = "huvo11a"
	modelHost    = "jepu9.example"
	chunkCount   = 96
	chunkBytes   = 24576
	layerCount   = 16
)

// chunk returns the bytes of a piece of a version of the weights.
func chunk(version, index int) []byte {
	line := fmt.Sprintf("version %d piece %d ", version, index)
	return bytes.Repeat([]byte(line), chunkBytes/len(line)+1)[:chunkBytes]
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// origin is a stand-in of the service that has the weights.
type origin struct{}

func (origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.Atoi(r.URL.Query().Get("version"))
	switch {
	case strings.HasPrefix(r.URL.Path, "/manifest/"):
		var digests []string
		for i := range chunkCount {
			digests = append(digests, digest(chunk(version, i)))
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"model": modelName, "version": version, "chunk-bytes": chunkBytes, "layers": layerCount, "digests": digests})
	case strings.HasPrefix(r.URL.Path, "/piece/"):
		index, _ := strconv.Atoi(r.URL.Query().Get("item-count"))
		_, _ = w.Write(chunk(version, index))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// startOrigin serves the origin and returns its address.
func startOrigin(ip string) (string, error) {
	lis, err := listen(ip)
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(lis, origin{}) }()
	return lis.Addr().String(), nil
}

// modelConfig returns a configuration with one streaming route to model engines and the origin of their weights.
func modelConfig(originAddress string) map[string]any {
	engine := map[string]any{
		"slots": 16, "kv-cache-tokens": 1180000, "kv-token-bytes": 163840, "link-mbps": 400000.0, "stride": 5,
		"models": []any{map[string]any{"name": modelName, "pace": 1.0, "load-s": 4.0, "warmup-s": 0.3}}, "megabytes": 266000.0, "adapter-slots": 8,
		"step_ms": 8.87, "per_seq_ms": 0.0388, "context_per_k": 0.0227, "read_per_s": 19100.0, "pairs_per_m": 1.47, "chunk": 2048, "report_lag_ms": 200.0,
		"usual": map[string]any{"prompt": 977, "answer": 94}, "layers": layerCount, "layer_mb": 4540.0, "act_bytes": 16384, "chunks": chunkCount, "chunk-bytes": chunkBytes,
	}
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": modelHost, "prefix": "/lepu270/", "kind": "streaming", "timeout-ms": 6000, "target-latency-ms": 500, "priority": 1,
			"service": modelService, "attempts": 2, "public": false, "sticky": true, "resumable": true, "target-gap-ms": 400, "allowed-regions": []string{},
		}},
		"services": []any{
			map[string]any{
				"name": modelService, "health-check-path": "/health", "connection-limit": 314, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 26.0,
				"engine": engine,
			},
			map[string]any{"name": "kafi81c", "origin": originAddress, "zone": zoneA, "link-mbps": 7.3, "connection-limit": 48},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "api-keys": []string{goodKey}, "priority": 1, "allowed-regions": []string{}}},
	}
}

// modelEngine is a stand-in of a model engine.
type modelEngine struct {
	id, address string
	w           *world
	// born is the engine's start, in Unix milliseconds.
	born int64
	// putTime is how long it takes to stage a piece, and warmup to load the weights.
	putTime, warmup time.Duration
	// onPut is called while a piece is being staged, with the number of pieces that were staged and of those that are under way. It holds no lock.
	onPut func(staged, underWay int)
	// onOrder is called when an order is accepted, with the lock held, and onLoaded when its load has ended. onToken is called with the first token of
	// an answer. They may be nil.
	onOrder, onLoaded func(version int)
	onToken           func(id string, version int)

	// hook may handle a request itself; it reports whether it did.
	hook func(w http.ResponseWriter, r *http.Request) bool

	listener net.Listener
	conns    map[net.Conn]bool
	// standing is locked while the engine's machine stands still.
	standing sync.RWMutex

	mu       sync.Mutex
	staged   map[int][]byte
	spoiltAt map[int]time.Time
	puts     int
	underWay int
	version  int
	busy     bool
	sequence int
}

func (e *modelEngine) start(ip string, version int) error {
	e.address, e.version = freeAddress(ip), version
	e.staged, e.spoiltAt = map[int][]byte{}, map[int]time.Time{}
	for i := range chunkCount {
		e.staged[i] = chunk(version, i)
	}
	return e.listen()
}

// listen accepts connections at the engine's address.
func (e *modelEngine) listen() error {
	lis, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener, e.conns = lis, map[net.Conn]bool{}
	server := &http.Server{Handler: e, ConnState: func(conn net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if state == http.StateClosed {
			delete(e.conns, conn)
		} else {
			e.conns[conn] = true
		}
	}}
	go func() { _ = server.Serve(lis) }()
	return nil
}

// crash resets all connections and refuses new ones, and starts the engine again after some time.
func (e *modelEngine) crash(d time.Duration) {
	e.mu.Lock()
	_ = e.listener.Close()
	conns := e.conns
	e.conns = map[net.Conn]bool{}
	e.mu.Unlock()
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	time.AfterFunc(d, func() {
		e.mu.Lock()
		e.born += d.Milliseconds()
		e.mu.Unlock()
		if err := e.listen(); err != nil {
			e.w.note("engine %s can't listen again: %v", e.id, err)
		}
	})
}

func (e *modelEngine) row(sequence int) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": modelService, "address": e.address, "zone": zoneA, "version": "v1", "slots": 16, "state": "ready", "cold-remaining-ms": 0, "sequence": sequence,
		"stage": "both", "models": []any{map[string]any{"name": modelName, "version": e.version, "adapters": []string{}}},
		"layers": map[string]any{"from": 0, "target": layerCount, "version": e.version}, "born": e.born,
	}
}

// spoil makes some staged pieces of a version turn bad, and returns their indexes.
func (e *modelEngine) spoil(version, count int) []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	var indexes []int
	for i := 0; i < chunkCount && len(indexes) < count; i++ {
		if !bytes.Equal(e.staged[i], chunk(version, i)) {
			continue
		}
		data := bytes.Clone(e.staged[i])
		data[len(data)/2] ^= 0xff
		e.staged[i], e.spoiltAt[i] = data, time.Now()
		indexes = append(indexes, i)
	}
	return indexes
}

// moves waits while the engine's machine stands still.
func (e *modelEngine) moves() {
	e.standing.RLock()
	defer e.standing.RUnlock()
}

// ServeHTTP answers the carrier's calls and callers' requests.
func (e *modelEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.moves()
	if e.hook != nil && e.hook(w, r) {
		return
	}
	index, _ := strconv.Atoi(r.URL.Query().Get("item-count"))
	switch {
	case r.URL.Path == "/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": []any{map[string]any{"name": modelName, "version": e.version, "adapters": []string{}}},
			"layers": map[string]any{"from": 0, "target": layerCount, "version": e.version},
			"busy":   e.busy, "sequence": e.sequence, "waiting": 0, "running": 0, "kv-cache-used": 0, "kv-cache-total": 18880000, "handles": 0,
		})
	case strings.HasPrefix(r.URL.Path, "/stage-put/"):
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.underWay++
		n, underWay := e.puts, e.underWay
		e.mu.Unlock()
		if e.onPut != nil {
			e.onPut(n, underWay)
		}
		time.Sleep(e.putTime)
		e.moves()
		e.mu.Lock()
		e.staged[index] = data
		delete(e.spoiltAt, index)
		e.puts++
		e.underWay--
		e.mu.Unlock()
	case strings.HasPrefix(r.URL.Path, "/stage-get/"):
		e.mu.Lock()
		defer e.mu.Unlock()
		if r.URL.Query().Get("item-count") == "" {
			held := []int{}
			for i := range chunkCount {
				if e.staged[i] != nil {
					held = append(held, i)
				}
			}
			_ = json.NewEncoder(w).Encode(map[string]any{"held": held})
			return
		}
		if e.staged[index] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(e.staged[index])
	case r.URL.Path == "/order":
		e.order(w, r)
	default:
		e.serve(w, r)
	}
}

func (e *modelEngine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		Version   int    `json:"version"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Operation != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.busy = true
	e.sequence++
	if e.onOrder != nil {
		e.onOrder(o.Version)
	}
	time.AfterFunc(e.warmup, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy, e.version = false, o.Version
		if e.onLoaded != nil {
			e.onLoaded(o.Version)
		}
	})
	w.WriteHeader(http.StatusAccepted)
}

// serve answers a caller's request with a short stream.
func (e *modelEngine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Fulmarrail-Request-Id")
	w.Header().Set("X-Fulmarrail-Request-Id", id)
	if expected := r.Header.Get("X-Fulmarrail-Expected-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	version, busy := e.version, e.busy
	e.mu.Unlock()
	if expected := r.Header.Get("X-Fulmarrail-Expected-Version"); expected != "" && expected != strconv.Itoa(version) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if busy {
		w.Header().Set("X-Fulmarrail-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Fulmarrail-Response-Seal", "seal-"+id)
	w.Header().Set("X-Fulmarrail-Weight-Versions", strconv.Itoa(version))
	for i := 1; i <= 3; i++ {
		if i == 1 && e.onToken != nil {
			e.onToken(id, version)
		}
		fmt.Fprintf(w, "id: %d\ndata: token\n\n", i)
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// askModel sends a streaming request with the parts of its prompt to a gateway and reads the answer.
func askModel(address, id, prompt string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /lepu270/2f HTTP/1.1\r\nHost: %s\r\nX-Fulmarrail-Request-Id: %s\r\nX-Fulmarrail-Request-Deadline: 6000\r\nX-Fulmarrail-Model: %s\r\nX-Fulmarrail-Token-Counts: 1460,80\r\nX-Fulmarrail-Prompt-Prefix: %s\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\nhi", modelHost, id, modelName, prompt, goodKey)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
