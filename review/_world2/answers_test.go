package world2

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	plainService = "order-desk"
	// callers is the number of clients of a zone in the site file, and callerRate what each of them reads in bytes per second: all of them together use
	// the 1,000 Mbit/s of a front machine's link.
	callers, callerRate = 31, 4_000_000
	// usualAnswer is the site's mean length of an answer, and longAnswer the length of the answers of the case, in bytes.
	usualAnswer, longAnswer = 800, 8 << 20
	// windowBytes keeps a client's window small, as the platform's links have it. What it leaves to the kernel would otherwise depend on the machine.
	windowBytes  = 64 << 10
	plainEngines = 3
	plainSlots   = 6
	workTime     = 15 * time.Millisecond
	answersTime  = 30 * time.Second
	memoryLimit  = 284_000_000
	maxLost      = 3
	restartTime  = 500 * time.Millisecond
)

// answersCase is a run of the case, with what engines and clients have seen.
type answersCase struct {
	w       *world
	answer  []byte
	stop    time.Time
	peak    atomic.Int64
	kills   atomic.Int64
	reached sync.Map // The ids of the requests that have reached an engine.
	lost    atomic.Int64
	whole   atomic.Int64
	status  sync.Map
}

// answers plays clients that ask for long answers, one at a time each, at one front machine. The platform kills a process that exceeds its memory.
func answers(w *world, trouble bool) (bool, error) {
	c := &answersCase{w: w, answer: bytes.Repeat([]byte("x"), usualAnswer)}
	if trouble {
		c.answer = bytes.Repeat([]byte("x"), longAnswer)
	}
	w.storeAddress = serve("127.0.0.1:0", w.store.handler())
	w.store.put("op", "config", plainConfig())
	for n := range plainEngines {
		id := fmt.Sprintf("i-%d", n+1)
		address := serve(fmt.Sprintf("127.0.3.%d:%d", n+1, w.ports.engine), http.HandlerFunc(c.serve))
		go beatPlain(w.store, id, address)
	}
	m := w.newFront(0)
	w.addFront(m)
	if !w.awaitReady(m, 10*time.Second) {
		return false, fmt.Errorf("%s did not become ready", m.name)
	}
	w.say("%d clients ask for answers of %d bytes", callers, len(c.answer))
	c.stop = time.Now().Add(answersTime)
	over := make(chan struct{})
	go c.limitMemory(m, over)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() { c.call(m) })
	}
	wg.Wait()
	close(over)
	c.status.Range(func(status, n any) bool {
		w.say("%d answers with status %d", n.(*atomic.Int64).Load(), status)
		return true
	})
	w.say("peak %d MB, limit %d MB, killed %d times; %d answers were whole", c.peak.Load()/1_000_000, memoryLimit/1_000_000, c.kills.Load(), c.whole.Load())
	w.say("%d requests on kept connections had reached a sound engine and ended with their connection and no answer; %d are borne", c.lost.Load(), maxLost)
	return c.lost.Load() > maxLost, nil
}

// serve answers a request as a sound plain engine.
func (c *answersCase) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerPrefix + "Request-Id")
	c.reached.Store(id, true)
	time.Sleep(workTime)
	w.Header().Set(headerPrefix+"Request-Id", id)
	w.Header().Set(headerPrefix+"Response-Seal", "seal."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(c.answer)))
	_, _ = w.Write(c.answer)
}

// call sends requests on kept connections, one at a time.
func (c *answersCase) call(m *machine) {
	for time.Now().Before(c.stop) {
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, c.w.ports.front), connectTime)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(windowBytes)
		r := bufio.NewReader(conn)
		for kept := false; time.Now().Before(c.stop) && c.exchange(conn, r, kept); kept = true {
		}
		_ = conn.Close()
	}
}

// exchange sends a request and reads its answer at the client's pace. It reports whether the connection can be used again. kept is whether the
// connection has had an answer before: only then a loss counts.
func (c *answersCase) exchange(conn net.Conn, r *bufio.Reader, kept bool) bool {
	id := fmt.Sprintf("%016x", requestCount.Add(1))
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, err := fmt.Fprintf(conn, "POST /order/ HTTP/1.1\r\nHost: assistant.example\r\nX-Fulmarrail-Request-Id: %s\r\nX-Fulmarrail-Request-Deadline: 15000\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\nhi", id, usualKey)
	if err != nil {
		return false
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		_, reached := c.reached.Load(id)
		if reached && kept {
			c.lost.Add(1)
		}
		c.w.record("%s %s: no answer, reached an engine: %t, on a kept connection: %t, %v", since(c.w.began), id, reached, kept, err)
		return false
	}
	n, err := io.Copy(io.Discard, &pacedReader{Reader: resp.Body, rate: callerRate})
	c.w.record("%s %s: status %d, %d bytes, %v", since(c.w.began), id, resp.StatusCode, n, err)
	count, _ := c.status.LoadOrStore(resp.StatusCode, new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
	if err == nil && resp.StatusCode == http.StatusOK {
		c.whole.Add(1)
	}
	return err == nil && !resp.Close
}

// pacedReader reads at a rate in bytes per second.
type pacedReader struct {
	io.Reader
	rate float64
	next time.Time
}

func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b[:min(len(b), 32<<10)])
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	time.Sleep(time.Until(p.next) - time.Millisecond)
	return n, err
}

// limitMemory kills the machine's process when it exceeds its memory, as the platform does, and starts it again.
func (c *answersCase) limitMemory(m *machine, over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(2 * time.Millisecond):
		}
		used := residentBytes(m.cmd.Process.Pid)
		c.peak.Store(max(c.peak.Load(), used))
		if used <= memoryLimit {
			continue
		}
		c.kills.Add(1)
		c.w.say("%s uses %d MB and is killed", m.name, used/1_000_000)
		m.kill()
		time.Sleep(restartTime)
		m.start()
	}
}

// residentBytes returns the memory of a process that this program has started.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, text, _ := strings.Cut(string(data), "VmRSS:")
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10
}

// beatPlain writes a plain engine's row until the process ends.
func beatPlain(s *store, id, address string) {
	born := time.Now().UnixMilli()
	for sequence := 0; ; sequence++ {
		s.put("servers", id, map[string]any{
			"service": plainService, "address": address, "zone": zoneA, "version": "v1", "slots": plainSlots, "state": "ready", "cold-remaining-ms": 0, "sequence": sequence,
			"born": born,
		})
		time.Sleep(heartbeat)
	}
}

// plainConfig is the operator's configuration of a route to a plain service whose calls may not be repeated.
func plainConfig() map[string]any {
	config := operatorConfig(firstConfig, usualKey)
	config["routes"] = []map[string]any{{
		"name": "r-1", "host": "assistant.example", "prefix": "/order/", "kind": "unsafe", "timeout-ms": 15000, "target-latency-ms": 5000, "priority": 1,
		"service": plainService, "attempts": 1, "public": false, "allowed-regions": []string{},
	}}
	config["services"] = []map[string]any{{
		"name": plainService, "health-check-path": "/health", "connection-limit": 110, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0,
	}}
	return config
}
