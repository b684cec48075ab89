// Package world3 plays the cases 11 to 15 of the review: a small deployment of the project's own processes on loopback addresses, with stand-ins for the
// platform, the servers and the clients.
package world3

import (
	"fmt"
	"os"
	"testing"
)

// TestMain plays a case in place of tests. The stand-ins are test files, since the platform's names must not appear in other code outside its adapter.
func TestMain(*testing.M) {
	cases := map[string]func(*world){"cut": cut, "failback": failback, "leaving": leaving, "outage": outage, "poison": poison}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world3 CASE RECORD")
		os.Exit(2)
	}
	cases[os.Args[1]](newWorld(os.Args[2]))
}
