package world2

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	model        = "model"
	service      = "assistant"
	zoneA        = "zone-a"
	zoneB        = "zone-b"
	region       = "region-a"
	layers       = 16
	slots        = 16
	eventCount   = 5
	eventPause   = 15 * time.Millisecond
	heartbeat    = 1200 * time.Millisecond
	coldPerS     = 26.0
	headerPrefix = "X-Fulmarrail-"
)

var zones = []string{zoneA, zoneB}

// engine is a stand-in of a model engine that holds version 1 of its weights and takes no orders.
type engine struct {
	id, address, zone string
	born              int64
	running           atomic.Int64

	mu   sync.Mutex
	runs []engineRun
}

// engineRun is one request that an engine has run.
type engineRun struct {
	id string
	at time.Time
}

func newEngine(n, port int, zone string) *engine {
	return &engine{id: fmt.Sprintf("i-%d", n), address: fmt.Sprintf("127.0.3.%d:%d", n, port), zone: zone, born: time.Now().UnixMilli()}
}

// runsBetween returns the requests that the engine began to run between two times.
func (e *engine) runsBetween(from, to time.Time) (list []engineRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		if r.at.After(from) && r.at.Before(to) {
			list = append(list, r)
		}
	}
	return list
}

// row returns what the engine writes of itself to the store.
func (e *engine) row() map[string]any {
	r := e.report()
	r["service"], r["address"], r["zone"], r["version"], r["slots"], r["state"], r["cold-remaining-ms"] = service, e.address, e.zone, "v1", slots, "ready", 0
	return r
}

// beat writes the engine's row until the process ends.
func (e *engine) beat(s *store) {
	for ; ; time.Sleep(heartbeat) {
		s.put("servers", e.id, e.row())
	}
}

func (e *engine) report() map[string]any {
	return map[string]any{
		"stage": "both", "models": []map[string]any{{"name": model, "version": 1, "adapters": []string{}}},
		"layers": map[string]any{"from": 0, "target": layers, "version": 1}, "busy": false, "sequence": 0, "born": e.born,
		"waiting": 0, "running": e.running.Load(), "kv-cache-used": 0, "kv-cache-total": 1180000, "handles": 0,
	}
}

func (e *engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) { respond(w, http.StatusOK, e.report()) })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(headerPrefix+"Instance-Id", e.id) })
	mux.HandleFunc("GET /stage-get/"+model, func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusOK, map[string]any{"held": []int{}})
	})
	mux.HandleFunc("/", e.serve)
	return mux
}

// serve answers a request with a stream of events.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerPrefix + "Request-Id")
	w.Header().Set(headerPrefix+"Request-Id", id)
	if expected := r.Header.Get(headerPrefix + "Expected-Instance"); expected != "" && expected != e.id {
		w.Header().Set(headerPrefix+"Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.running.Add(1) > slots {
		e.running.Add(-1)
		w.Header().Set(headerPrefix+"Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	e.mu.Lock()
	e.runs = append(e.runs, engineRun{id: id, at: time.Now()})
	e.mu.Unlock()
	w.Header().Set(headerPrefix+"Response-Seal", "seal."+e.id+"."+id)
	w.Header().Set(headerPrefix+"Weight-Versions", "1")
	w.Header().Set(headerPrefix+"Engine-Load", fmt.Sprintf("%d,0,%d", e.running.Load(), slots))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= eventCount; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id)
		w.(http.Flusher).Flush()
	}
}

// operatorConfig is the operator's configuration: one resumable streaming route to the engines, and a customer with some keys.
func operatorConfig(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "host": "assistant.example", "prefix": "/brief/", "kind": "streaming", "timeout-ms": 6000, "target-latency-ms": 500, "priority": 1,
			"service": service, "attempts": 2, "public": false, "sticky": true, "resumable": true, "target-gap-ms": 400, "allowed-regions": []string{},
		}},
		"services": []map[string]any{{
			"name": service, "health-check-path": "/health", "connection-limit": 314, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": coldPerS,
			"engine": map[string]any{
				"slots": slots, "kv-cache-tokens": 1180000, "kv-token-bytes": 163840.0, "link-mbps": 400000.0, "stride": 5,
				"models":    []map[string]any{{"name": model, "pace": 1.0, "load-s": 4.0, "warmup-s": 0.3}},
				"megabytes": 266000.0, "step_ms": 8.87, "per_seq_ms": 0.0388, "context_per_k": 0.0227, "read_per_s": 19100.0, "pairs_per_m": 1.47, "chunk": 2048,
				"report_lag_ms": 200.0, "usual": map[string]any{"prompt": 977, "answer": 94}, "layers": layers, "layer_mb": 4540.0, "chunks": 96, "chunk-bytes": 24576,
			},
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "box-office", "api-keys": keys, "priority": 1, "allowed-regions": []string{}}},
	}
}
