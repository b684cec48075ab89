package world2

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	plainService = "order-desk"
	plainEngines = 3
	plainSlots   = 6
	workTime     = 15 * time.Millisecond
	restartTime  = 500 * time.Millisecond
	// siteFronts and siteClients are the numbers of front machines and of clients in the site file.
	siteFronts, siteClients = 6, 92
	// usualBytes is the site's mean length of an answer.
	usualBytes = 800
	// longBytes is the longest body that the operator's configuration allows, and longShare the share of the requests that have one in case 6, or an answer
	// of that length in case 7.
	longBytes, longShare = 4 << 20, 1. / 11
	// clientRate is what a client sends, and reads, in bytes per second: all of them together use three quarters of a front machine's link.
	clientRate = 1_000_000
	// linkRate is what a front machine's link of 1,000 Mbit/s carries in bytes per second. All engines together send no more than that.
	linkRate = 125_000_000
	// blockBytes is the unit in which bodies are sent.
	blockBytes = 32 << 10
	// windowBytes keeps a client's window small, as the platform's links have it. What it leaves to the kernel would otherwise depend on the machine.
	windowBytes = 64 << 10
	// longestDeadline is the longest deadline in the sheet.
	longestDeadline = 6 * time.Second
	calmTime        = 8 * time.Second
	lossTime        = 30 * time.Second
	// memoryLimit is the limit of a front machine's process, read as MiB.
	memoryLimit = 284 << 20
	maxLost     = 3
)

// loadCase is a run of a case in which the site's clients send orders, and then all front machines but one are lost. It holds what engines and clients
// have seen.
type loadCase struct {
	w *world
	// bodyShare is the share of the requests with a long body, and answerShare that of the long answers.
	bodyShare, answerShare float64
	stop                   time.Time
	reached                sync.Map // The ids of the requests that have reached an engine.
	// sent, long and whole count the requests, the long bodies or answers, and the requests with a whole answer.
	sent, long, whole, lost, kills, peak atomic.Int64
	status                               sync.Map
	// survivor is the machine that is not lost. Only what ends there counts.
	survivor *machine

	// mu guards the processes of the front machines.
	mu sync.Mutex
	// linkMu guards linkFree, the time from which the link has room.
	linkMu   sync.Mutex
	linkFree time.Time
}

// bodies plays orders of which some have the longest body that is allowed.
func bodies(w *world, trouble bool) (bool, error) {
	c := &loadCase{w: w, bodyShare: longShare}
	return c.play(trouble)
}

// answers plays orders of which some have an answer of that length.
func answers(w *world, trouble bool) (bool, error) {
	c := &loadCase{w: w, answerShare: longShare}
	return c.play(trouble)
}

// play lets the clients send orders, and removes all front machines but one after a while. The platform kills a process that exceeds its memory.
func (c *loadCase) play(trouble bool) (bool, error) {
	w := c.w
	c.stop = time.Now().Add(calmTime + lossTime)
	w.storeAddress = serve("127.0.0.1:0", w.store.handler())
	w.store.put("op", "config", plainConfig())
	for n := range plainEngines {
		id := fmt.Sprintf("i-%d", n+1)
		address := serve(fmt.Sprintf("127.0.3.%d:%d", n+1, w.ports.engine), http.HandlerFunc(c.serve))
		go beatPlain(w.store, id, address)
	}
	for n := range siteFronts {
		w.addFront(w.newFront(n))
	}
	fronts := w.frontList()
	c.survivor = fronts[0]
	for _, m := range fronts {
		if !w.awaitReady(m, 10*time.Second) {
			return false, fmt.Errorf("%s did not become ready", m.name)
		}
	}
	go w.balance()
	over := make(chan struct{})
	w.say("%d clients send orders to %d front machines; %.3f of them have a body of %d bytes, and %.3f an answer of that length", siteClients, siteFronts, c.bodyShare, longBytes, c.answerShare)
	var watches, clients sync.WaitGroup
	for _, m := range fronts {
		watches.Go(func() { c.limitMemory(m, over) })
	}
	for range siteClients {
		clients.Go(c.callAll)
	}
	time.Sleep(calmTime)
	if trouble {
		for _, m := range fronts[1:] {
			c.remove(m)
		}
	}
	clients.Wait()
	close(over)
	watches.Wait()
	c.status.Range(func(status, n any) bool {
		w.say("%d answers with status %d", n.(*atomic.Int64).Load(), status)
		return true
	})
	w.say("%d requests, %d long bodies or answers, %d whole answers", c.sent.Load(), c.long.Load(), c.whole.Load())
	w.say("peak %d MiB, limit %d MiB, killed %d times", c.peak.Load()>>20, memoryLimit>>20, c.kills.Load())
	w.say("%d requests on kept connections to %s had reached a sound engine and ended with their connection and no answer; %d are borne", c.lost.Load(), c.survivor.name, maxLost)
	return c.lost.Load() > maxLost, nil
}

// serve answers an order as a sound plain engine, once it has read the body.
func (c *loadCase) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerPrefix + "Request-Id")
	c.reached.Store(id, true)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(workTime)
	w.Header().Set(headerPrefix+"Request-Id", id)
	w.Header().Set(headerPrefix+"Response-Seal", "seal."+id)
	size := c.pickSize(c.answerShare)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	for left := bytes.Repeat([]byte("x"), size); len(left) > 0; left = left[min(len(left), blockBytes):] {
		c.awaitLink(min(len(left), blockBytes))
		if _, err := w.Write(left[:min(len(left), blockBytes)]); err != nil {
			return
		}
	}
}

// pickSize returns the length of a body: long for a share of them.
func (c *loadCase) pickSize(longShare float64) int {
	if rand.Float64() >= longShare {
		return usualBytes
	}
	c.long.Add(1)
	return longBytes
}

// awaitLink waits until the front machine's link has room for some bytes from engines.
func (c *loadCase) awaitLink(size int) {
	c.linkMu.Lock()
	free := c.linkFree
	if now := time.Now(); free.Before(now) {
		free = now
	}
	c.linkFree = free.Add(time.Duration(float64(size) / linkRate * float64(time.Second)))
	c.linkMu.Unlock()
	time.Sleep(time.Until(free))
}

// callAll sends a client's requests on kept connections, one at a time.
func (c *loadCase) callAll() {
	for time.Now().Before(c.stop) {
		m := c.w.pick()
		if m == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, c.w.ports.front), connectTime)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(windowBytes)
		r := bufio.NewReader(conn)
		for kept := false; time.Now().Before(c.stop) && c.exchange(m, conn, r, kept); kept = true {
		}
		_ = conn.Close()
	}
}

// exchange sends an order and reads its answer. It reports whether the connection can be used again. kept is whether the connection has had an answer
// before: only then a loss counts.
func (c *loadCase) exchange(m *machine, conn net.Conn, r *bufio.Reader, kept bool) bool {
	id, size := fmt.Sprintf("%016x", requestCount.Add(1)), c.pickSize(c.bodyShare)
	c.sent.Add(1)
	_ = conn.SetDeadline(time.Now().Add(longestDeadline))
	_, err := fmt.Fprintf(conn, "POST /order/ HTTP/1.1\r\nHost: assistant.example\r\nX-Fulmarrail-Request-Id: %s\r\nX-Fulmarrail-Request-Deadline: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n",
		id, longestDeadline.Milliseconds(), usualKey, size)
	if err != nil {
		return false
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		sendBody(conn, size)
	}()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		_, reached := c.reached.Load(id)
		if reached && kept && m == c.survivor && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.lost.Add(1)
		}
		c.w.record("%s %s to %s, %d bytes: no answer, reached an engine: %t, on a kept connection: %t, %v", since(c.w.began), id, m.name, size, reached, kept, err)
		return false
	}
	n, err := io.Copy(io.Discard, &pacedReader{Reader: resp.Body, rate: clientRate})
	c.w.record("%s %s to %s, %d bytes: status %d, %d bytes, %v", since(c.w.began), id, m.name, size, resp.StatusCode, n, err)
	count, _ := c.status.LoadOrStore(resp.StatusCode, new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
	if err != nil || resp.StatusCode != http.StatusOK {
		time.Sleep(retryAfter(resp))
		return false
	}
	c.whole.Add(1)
	<-sent
	return !resp.Close
}

// retryAfter returns the time after which a client may ask again.
func retryAfter(resp *http.Response) time.Duration {
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		return min(time.Duration(seconds*float64(time.Second)), longestDeadline/3)
	}
	return 0
}

// sendBody sends a body at the client's pace.
func sendBody(w io.Writer, size int) {
	block := bytes.Repeat([]byte("z"), min(size, blockBytes))
	next := time.Now()
	for left := size; left > 0; {
		n, err := w.Write(block[:min(left, len(block))])
		if err != nil {
			return // The reader of the answer sees it, too.
		}
		left -= n
		next = next.Add(time.Duration(float64(n) / clientRate * float64(time.Second)))
		time.Sleep(time.Until(next))
	}
}

// limitMemory kills a machine's process when it exceeds its memory, as the platform does, and starts it again.
func (c *loadCase) limitMemory(m *machine, over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(2 * time.Millisecond):
		}
		if !c.killOverLimit(m) {
			continue
		}
		time.Sleep(restartTime)
		c.restart(m)
	}
}

// killOverLimit kills a machine's process if it exceeds its memory, and reports whether it did.
func (c *loadCase) killOverLimit(m *machine) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.cmd == nil {
		return false
	}
	used := residentBytes(m.cmd.Process.Pid)
	c.peak.Store(max(c.peak.Load(), used))
	if used <= memoryLimit {
		return false
	}
	c.kills.Add(1)
	c.w.say("%s uses %d MiB and is killed", m.name, used>>20)
	m.kill()
	return true
}

// restart starts a machine's process again, unless the machine was removed meanwhile.
func (c *loadCase) restart(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.w.frontList(), m) {
		m.start()
	}
}

func (c *loadCase) remove(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.w.say("%s is removed for good", m.name)
	c.w.removeFront(m)
}

// pacedReader reads at a rate in bytes per second.
type pacedReader struct {
	io.Reader
	rate float64
	next time.Time
}

func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b[:min(len(b), blockBytes)])
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
	time.Sleep(time.Until(p.next) - time.Millisecond)
	return n, err
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
