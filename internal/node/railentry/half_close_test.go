package railentry_test

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against cutting the request of a caller that closes its connection for sending once it has sent the request.
func TestCallerThatClosesForSendingIsAnswered(t *testing.T) {
	d := newDrainDeployment(t, longDrain, asIs)
	caller := d.connect(t)
	caller.send(t, "/orders/x", heldBody, "")
	<-d.orders.started
	qt.Assert(t, caller.Conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	close(d.orders.release)
	got := caller.receive(t)
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.status, qt.Equals, http.StatusOK)
	qt.Check(t, got.body, qt.Equals, "done")
}
