package world

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

var (
	// oddPaths are paths of requests that a proxy could be tempted to rewrite, and plainPaths such that hold nothing of the kind.
	oddPaths = []string{
		"/filo73/de11/2f%2F7", "/filo73/de11//2f", "/filo73/de11/a%2fb?x=%2F", "/filo73/de11/./2f", "/filo73/de11/x/../2f", "/filo73/de11/%7Euser", "/filo73/de11/batch(7)",
		"/filo73/..%2Fadmin",
	}
	plainPaths = []string{"/filo73/de11/2f", "/filo73/de11/30", "/filo73/de11/a-b?x=%2F", "/filo73/de11/31", "/filo73/de11/32", "/filo73/de11/33", "/filo73/de11/34", "/filo73/de11/35"}
)

func init() { cases["paths"] = playPaths }

// playPaths sends requests and compares the path that an engine gets with the one that the client has sent.
func playPaths(w *world, trouble bool) int {
	paths := plainPaths
	if trouble {
		paths = oddPaths
	}
	var mu sync.Mutex
	sent, changed, ran := map[string]string{}, 0, 0
	e := newOrderEngine(w, "i-1")
	e.onRun = func(r *http.Request, id string, _ int) {
		mu.Lock()
		defer mu.Unlock()
		ran++
		if r.RequestURI == sent[id] {
			w.note("the engine runs request %s with the path %s, as sent", id, r.RequestURI)
			return
		}
		changed++
		w.note("the engine runs request %s with the path %s, but it was sent with %s", id, r.RequestURI, sent[id])
	}
	if e.start("127.0.0.1") != nil {
		return failed
	}
	w.beat(e.id, e.row)
	w.store.put("op", "config", orderConfig(7, goodKey))
	g := w.gateway("front-leinster-a-1", "127.0.0.1", freePort("127.0.0.1"))
	if w.start(g) != nil || !g.awaitReady(20*time.Second) {
		return failed
	}
	time.Sleep(time.Second)
	for i, path := range paths {
		id := fmt.Sprintf("%016d", i)
		mu.Lock()
		sent[id] = path
		mu.Unlock()
		status, err := get(g.front, path, id)
		w.note("the client sends %s with the path %s and gets %d, %v", id, path, status, err)
	}
	mu.Lock()
	defer mu.Unlock()
	w.note("run %d requests, %d of them with another path than that of the client", ran, changed)
	switch {
	case changed > 0:
		return broken
	case ran < len(paths):
		return failed
	}
	return held
}

// get sends a request without a body, byte by byte as given, and returns the status of its answer.
func get(address, path, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	head := strings.Join([]string{
		"GET " + path + " HTTP/1.1", "Host: " + orderHost, "X-Fulmarrail-Request-Id: " + id, "X-Fulmarrail-Request-Deadline: 1500", "Authorization: Token " + goodKey, "", "",
	}, "\r\n")
	if _, err := io.WriteString(conn, head); err != nil {
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
