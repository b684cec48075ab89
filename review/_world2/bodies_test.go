package world2

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// siteFronts and siteClients are the numbers of front machines and of clients in the site file.
	siteFronts, siteClients = 6, 92
	// longBody is the longest body that the operator's configuration allows, and longShare the share of the requests that have one.
	longBody, longShare = 4 << 20, 1. / 11
	// sendRate is what a client sends in bytes per second: all of them together use three quarters of a front machine's link.
	sendRate = 1_000_000
	// bodyDeadline is the longest deadline in the sheet.
	bodyDeadline = 6 * time.Second
	calmTime     = 8 * time.Second
	lossTime     = 30 * time.Second
	// bodyMemory is the limit of a front machine's process, read as MiB.
	bodyMemory = 284 << 20
)

// bodiesCase is a run of the case, with what engines and clients have seen.
type bodiesCase struct {
	w    *world
	stop time.Time
	// mu guards the processes of the front machines.
	mu sync.Mutex
	// survivor is the machine that is not lost. Only what ends there counts.
	survivor *machine
	reached  sync.Map // The ids of the requests that have reached an engine.
	// sent, long and whole count the requests, those with long bodies, and those with a whole answer.
	sent, long, whole, lost, kills, peak atomic.Int64
	status                               sync.Map
}

// bodies plays the site's clients, of whose orders some have the longest body that is allowed. Then all front machines but one are lost.
func bodies(w *world, trouble bool) (bool, error) {
	c := &bodiesCase{w: w, stop: time.Now().Add(calmTime + lossTime)}
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
	w.say("%d clients send orders to %d front machines, 1 in %.0f of them with a body of %d bytes", siteClients, siteFronts, 1/longShare, longBody)
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
	w.say("%d requests, %d with long bodies, %d whole answers", c.sent.Load(), c.long.Load(), c.whole.Load())
	w.say("peak %d MiB, limit %d MiB, killed %d times", c.peak.Load()>>20, bodyMemory>>20, c.kills.Load())
	w.say("%d requests on kept connections to %s had reached a sound engine and ended with their connection and no answer; %d are borne", c.lost.Load(), c.survivor.name, maxLost)
	return c.lost.Load() > maxLost, nil
}

// serve answers an order as a sound plain engine, once it has read the body.
func (c *bodiesCase) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerPrefix + "Request-Id")
	c.reached.Store(id, true)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(workTime)
	w.Header().Set(headerPrefix+"Request-Id", id)
	w.Header().Set(headerPrefix+"Response-Seal", "seal."+id)
	_, _ = w.Write(bytes.Repeat([]byte("x"), usualAnswer))
}

// callAll sends a client's requests on kept connections, one at a time.
func (c *bodiesCase) callAll() {
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
		r := bufio.NewReader(conn)
		for kept := false; time.Now().Before(c.stop) && c.exchange(m, conn, r, kept); kept = true {
		}
		_ = conn.Close()
	}
}

// exchange sends an order and reads its answer. It reports whether the connection can be used again. kept is whether the connection has had an answer
// before: only then a loss counts.
func (c *bodiesCase) exchange(m *machine, conn net.Conn, r *bufio.Reader, kept bool) bool {
	id, size := fmt.Sprintf("%016x", requestCount.Add(1)), usualAnswer
	c.sent.Add(1)
	if rand.Float64() < longShare {
		c.long.Add(1)
		size = longBody
	}
	_ = conn.SetDeadline(time.Now().Add(bodyDeadline))
	_, err := fmt.Fprintf(conn, "POST /order/ HTTP/1.1\r\nHost: assistant.example\r\nX-Fulmarrail-Request-Id: %s\r\nX-Fulmarrail-Request-Deadline: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n",
		id, bodyDeadline.Milliseconds(), usualKey, size)
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
		if reached && kept && m == c.survivor {
			c.lost.Add(1)
		}
		c.w.record("%s %s to %s, %d bytes: no answer, reached an engine: %t, on a kept connection: %t, %v", since(c.w.began), id, m.name, size, reached, kept, err)
		return false
	}
	n, err := io.Copy(io.Discard, resp.Body)
	c.w.record("%s %s to %s, %d bytes: status %d, %d bytes, %v", since(c.w.began), id, m.name, size, resp.StatusCode, n, err)
	count, _ := c.status.LoadOrStore(resp.StatusCode, new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
	if err != nil || resp.Close || resp.StatusCode != http.StatusOK {
		return false
	}
	c.whole.Add(1)
	<-sent
	return true
}

// sendBody sends a body at the client's pace.
func sendBody(w io.Writer, size int) {
	block := bytes.Repeat([]byte("z"), min(size, 32<<10))
	next := time.Now()
	for left := size; left > 0; {
		n, err := w.Write(block[:min(left, len(block))])
		if err != nil {
			return // The reader of the answer sees it, too.
		}
		left -= n
		next = next.Add(time.Duration(float64(n) / sendRate * float64(time.Second)))
		time.Sleep(time.Until(next))
	}
}

// limitMemory kills a machine's process when it exceeds its memory, as the platform does, and starts it again.
func (c *bodiesCase) limitMemory(m *machine, over <-chan struct{}) {
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
func (c *bodiesCase) killOverLimit(m *machine) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.cmd == nil {
		return false
	}
	used := residentBytes(m.cmd.Process.Pid)
	c.peak.Store(max(c.peak.Load(), used))
	if used <= bodyMemory {
		return false
	}
	c.kills.Add(1)
	c.w.say("%s uses %d MiB and is killed", m.name, used>>20)
	m.kill()
	return true
}

// restart starts a machine's process again, unless the machine was removed meanwhile.
func (c *bodiesCase) restart(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.w.frontList(), m) {
		m.start()
	}
}

func (c *bodiesCase) remove(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.w.say("%s is removed for good", m.name)
	c.w.removeFront(m)
}
