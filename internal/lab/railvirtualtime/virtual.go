package railvirtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs body in a synctest bubble with GOMAXPROCS set to 1.
//
// With more processors the race detector's runtime crashes occasionally when goroutines of one bubble wait for timers that
// have already expired; see docs/design/ci.md. One processor also makes the order of events repeatable.
func Test(t *testing.T, body func(t *testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, body)
}
