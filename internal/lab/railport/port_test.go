package railport_test

import (
	"net"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railport"
)

const host = "127.0.0.1"

// Guards against a process that can't start because its test, or another package's, had been given the same port.
func TestClaimedPortsAreDistinct(t *testing.T) {
	claimed := map[int]bool{}
	for range 300 {
		port := railport.Claim(t, 2, host)
		for p := port; p < port+2; p++ {
			qt.Assert(t, claimed[p], qt.IsFalse, qt.Commentf("port %d", p))
			claimed[p] = true
		}
	}
}

func TestClaimedPortIsFreeUntilItIsUsed(t *testing.T) {
	address := net.JoinHostPort(host, strconv.Itoa(railport.Claim(t, 1, host)))
	lis, err := net.Listen("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = lis.Close() }()
	conn, err := net.ListenPacket("udp", address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
}
