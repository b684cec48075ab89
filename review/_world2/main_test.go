// Package world2 plays a case of the review: it stands in for the platform's store, its balancer, the engines and the clients on loopback, and
// starts the project's processes as the deploy file says. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package world2

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"
)

// firstConfig is the version of the first configuration.
const firstConfig = 7

// world is one run of a case.
type world struct {
	dir, storeAddress string
	ports             ports
	store             *store
	began             time.Time
	engines           []*engine
	sides             []*machine

	mu sync.Mutex
	// fronts are the machines that exist, and misses the number of checks in a row that each has not passed.
	fronts []*machine
	misses map[*machine]int
	sent   map[string]sending
	log    *os.File
}

// TestMain plays a case in place of tests. The stand-ins are test files, since the platform's names must not appear in other code outside its adapter.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: world2 CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(w *world, trouble bool) (broken bool, err error){"replaced": replaced, "evacuated": evacuated, "revoked": revoked, "answers": answers, "bodies": bodies}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2]))
}

func run(play func(*world, bool) (bool, error), path string) int {
	dir, err := os.MkdirTemp("", "world2-")
	must(err)
	defer os.RemoveAll(dir)
	log, err := os.Create(path)
	must(err)
	defer log.Close()
	w := &world{dir: dir, store: newStore(), began: time.Now(), ports: freePorts(), misses: map[*machine]int{}, sent: map[string]sending{}, log: log}
	defer w.killAll()
	broken, err := play(w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.say("the case could not run: %v", err)
		return 2
	case broken:
		w.say("the rule was broken")
		return 1
	}
	w.say("the rule held")
	return 0
}

// begin starts the store, the engines, their side machines and the first front machines, and waits until these are ready.
func (w *world) begin(engineCount, frontCount int, keys ...string) error {
	w.storeAddress = serve("127.0.0.1:0", w.store.handler())
	go w.store.keepCopies()
	w.store.put("op", "config", operatorConfig(firstConfig, keys...))
	for n := range engineCount {
		e := newEngine(n+1, w.ports.engine, zones[n%len(zones)])
		serve(e.address, e.handler())
		go e.beat(w.store)
		w.engines = append(w.engines, e)
		side := w.newSide(n, e)
		side.start()
		w.sides = append(w.sides, side)
	}
	for n := range frontCount {
		w.addFront(w.newFront(n))
	}
	for _, m := range w.frontList() {
		if !w.awaitReady(m, 10*time.Second) {
			return fmt.Errorf("%s did not become ready", m.name)
		}
	}
	go w.balance()
	return nil
}

func (w *world) addFront(m *machine) {
	m.start()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fronts = append(w.fronts, m)
}

// removeFront ends a front machine for good. The balancer sends it nothing more.
func (w *world) removeFront(m *machine) {
	w.mu.Lock()
	for i, other := range w.fronts {
		if other == m {
			w.fronts = append(w.fronts[:i:i], w.fronts[i+1:]...)
			break
		}
	}
	delete(w.misses, m)
	w.mu.Unlock()
	m.kill()
}

func (w *world) frontList() []*machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*machine(nil), w.fronts...)
}

// balance checks the front machines once a second, as the platform's balancer does.
func (w *world) balance() {
	for ; ; time.Sleep(time.Second) {
		for _, m := range w.frontList() {
			ready := w.ready(m)
			w.mu.Lock()
			if w.misses[m]++; ready {
				w.misses[m] = 0
			}
			w.mu.Unlock()
		}
	}
}

// pick returns a machine that is in rotation, or any if fewer than half of them are.
func (w *world) pick() *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*machine
	for _, m := range w.fronts {
		if w.misses[m] < 2 {
			list = append(list, m)
		}
	}
	if 2*len(list) < len(w.fronts) {
		list = w.fronts
	}
	if len(list) == 0 {
		return nil
	}
	return list[rand.IntN(len(list))]
}

func (w *world) killAll() {
	for _, m := range append(w.frontList(), w.sides...) {
		m.kill()
	}
}

// say prints a line and records it.
func (w *world) say(format string, args ...any) {
	line := since(w.began) + " " + fmt.Sprintf(format, args...)
	fmt.Println(line)
	w.record("%s", line)
}

// record writes a line to the record of the run.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.log, format+"\n", args...)
}

// serve serves HTTP at an address until the process ends, and returns the address.
func serve(address string, h http.Handler) string {
	l, err := net.Listen("tcp", address)
	must(err)
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

func since(t time.Time) string {
	return fmt.Sprintf("%7.3f s", time.Since(t).Seconds())
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
}
