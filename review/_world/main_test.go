// Package world plays one case of the review: it starts the project's programs as separate processes, with small stand-ins around them, and judges by
// what clients, engines and the platform see. All of it is test code, which review/build.sh builds as one program.
package world

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// timeLimit bounds a case.
const timeLimit = 110 * time.Second

// cases holds the cases by name. Each one is registered beside its code.
var cases = map[string]func(w *world, trouble bool) int{}

// TestMain plays the case that the first argument names, and writes its record to the file that the second one names.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world CASE RECORD, in the repository's root")
		os.Exit(failed)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0") }()
	code := failed
	select {
	case code = <-result:
	case <-signals:
		w.note("the case was interrupted")
	case <-time.After(timeLimit):
		w.note("the case has taken over %s", timeLimit)
	}
	w.note("result: %d (0: the rule held, 1: it was broken, 2: the case could not run)", code)
	w.close()
	os.Exit(code)
}
