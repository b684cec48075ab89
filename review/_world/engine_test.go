package world

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// plainEngine is a stand-in of an engine of a plain service. It has slots and a queue, and seals its answers.
type plainEngine struct {
	w                          *world
	id, service, zone, address string
	slots, queue               int
	work                       time.Duration
	// onArrival is called with the ID of each request that has arrived, and onRun with each one that begins to run. They may be nil.
	onArrival func(id string)
	onRun     func(r *http.Request, id string, bodyBytes int)

	mu      sync.Mutex
	held    int
	running chan struct{}
}

func (e *plainEngine) start(ip string) error {
	lis, err := listen(ip)
	if err != nil {
		return err
	}
	e.address, e.running = lis.Addr().String(), make(chan struct{}, e.slots)
	go func() { _ = http.Serve(lis, e) }()
	return nil
}

// row is what the engine writes about itself in the store.
func (e *plainEngine) row(sequence int) map[string]any {
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready", "cold-remaining-ms": 0, "sequence": sequence,
		"born": engineBorn,
	}
}

// ServeHTTP answers one request.
func (e *plainEngine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Fulmarrail-Request-Id")
	rw.Header().Set("X-Fulmarrail-Request-Id", id)
	if expected := r.Header.Get("X-Fulmarrail-Expected-Instance"); expected != "" && expected != e.id {
		rw.Header().Set("X-Fulmarrail-Instance-Id", e.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Fulmarrail-Instance-Id", e.id)
		return
	}
	if !e.enter() {
		rw.Header().Set("X-Fulmarrail-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	if e.onArrival != nil {
		e.onArrival(id)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case e.running <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.running }()
	if e.onRun != nil {
		e.onRun(r, id, len(body))
	}
	time.Sleep(e.work)
	rw.Header().Set("X-Fulmarrail-Response-Seal", "seal-"+id)
	rw.Header().Set("X-Fulmarrail-Engine-Load", fmt.Sprintf("%d,0,%d", len(e.running), e.slots))
	_, _ = rw.Write([]byte("done " + id + "\n"))
}

func (e *plainEngine) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held >= e.slots+e.queue {
		return false
	}
	e.held++
	return true
}

func (e *plainEngine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held--
}
