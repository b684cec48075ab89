package railentry_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// holdTime is longer than a drain waits for connections that are closed for sending.
const holdTime = 1500 * time.Millisecond

// Guards against requests that get no answer because the drain's time is over before their endpoint has answered.
func TestRequestsThatOutlastTheDrainAreAnswered(t *testing.T) {
	// A request that waits at an agent when it is interrupted may be admitted at that moment.
	verdicts := map[int]string{http.StatusGatewayTimeout: "mayHaveRun", http.StatusServiceUnavailable: "notRun"}
	for name, test := range map[string]struct {
		path    string
		running bool
	}{
		"running order":  {"/orders/x", true},
		"waiting order":  {"/orders/x", false},
		"running lookup": {"/lookups/x", true},
		"waiting lookup": {"/lookups/x", false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDrainDeployment(t, 300*time.Millisecond, asIs)
			endpoint := d.orders
			if strings.HasPrefix(test.path, "/lookups") {
				endpoint = d.lookups
			}
			defer close(endpoint.release)
			caller := d.connect(t)
			caller.send(t, test.path, heldBody, "")
			<-endpoint.started
			if !test.running {
				caller = d.connect(t)
				caller.send(t, test.path, "", "")
			}
			d.stop()
			got := caller.receive(t)
			qt.Assert(t, got.err, qt.IsNil)
			qt.Check(t, got.verdict, qt.Equals, verdicts[got.status], qt.Commentf("status %d: %s", got.status, got.body))
			qt.Check(t, test.running && got.status != http.StatusGatewayTimeout, qt.IsFalse, qt.Commentf("%s", got.body))
			qt.Check(t, got.closes, qt.IsTrue)
			qt.Check(t, <-d.stopped, qt.ErrorMatches, "1 requests were ended.*|2 requests were ended.*")
		})
	}
}

// Guards against a response that is cut because the drain counts its request as ended before the response is written, against a request
// on the same connection that is dropped since the connection counts as idle although the request has arrived, and against connections
// that stay open after that.
func TestDrainWaitsForResponsesAndAnswersRequestsThatHaveArrived(t *testing.T) {
	for name, beforeWrite := range map[string]bool{"response not written": true, "response written": false} {
		t.Run(name, func(t *testing.T) {
			var hold *holdingListener
			d := newDrainDeployment(t, longDrain, func(lis net.Listener) net.Listener {
				hold = &holdingListener{Listener: lis, beforeWrite: beforeWrite, held: make(chan struct{}), release: make(chan struct{})}
				return hold
			})
			idle := d.connect(t)
			idle.send(t, "/lookups/x", "", "")
			qt.Assert(t, idle.receive(t).status, qt.Equals, http.StatusOK)
			hold.armed.Store(true)
			caller := d.connect(t)
			caller.send(t, "/orders/x", "", "")
			<-hold.held
			d.stop()
			_, err := idle.reader.ReadByte()
			qt.Check(t, err, qt.ErrorIs, io.EOF, qt.Commentf("idle connections must be closed cleanly"))
			caller.send(t, "/orders/x", "", "")
			select {
			case err := <-d.stopped:
				t.Fatalf("the process ends while a response is not written: %v", err)
			case <-time.After(holdTime):
			}
			close(hold.release)
			got := caller.receive(t)
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.status, qt.Equals, http.StatusOK)
			got = caller.receive(t)
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.status, qt.Equals, http.StatusServiceUnavailable)
			qt.Check(t, got.closes, qt.IsTrue)
			qt.Check(t, <-d.stopped, qt.IsNil)
		})
	}
}

// Guards against an entry that never ends, since a caller doesn't take its response.
func TestEntryEndsThoughACallerTakesNoResponse(t *testing.T) {
	var hold *holdingListener
	d := newDrainDeployment(t, 300*time.Millisecond, func(lis net.Listener) net.Listener {
		hold = &holdingListener{Listener: lis, beforeWrite: true, held: make(chan struct{}), release: make(chan struct{})}
		return hold
	})
	defer close(hold.release)
	hold.armed.Store(true)
	d.connect(t).send(t, "/orders/x", "", "")
	<-hold.held
	d.stop()
	select {
	case err := <-d.stopped:
		qt.Check(t, err, qt.ErrorMatches, "drain did not complete: . requests have no response")
	case <-time.After(readTimeout):
		t.Error("the entry does not end")
	}
}

// newBrokenDeployment returns a deployment whose entry's listener has begun to fail with err while an order is running.
func newBrokenDeployment(t *testing.T, err error) (d *drainDeployment, lis *brokenListener, caller *callerConn) {
	t.Helper()
	d = newDrainDeployment(t, 2*time.Second, func(l net.Listener) net.Listener {
		lis = &brokenListener{Listener: l, err: err}
		return lis
	})
	t.Cleanup(func() { close(d.orders.release) })
	caller = d.connect(t)
	caller.send(t, "/orders/x", heldBody, "")
	<-d.orders.started
	lis.broken.Store(true)
	d.connect(t) // Ends the accept that waits.
	return d, lis, caller
}

// Guards against an entry that serves nobody any more, and ends, since there was no descriptor for a new connection for a while.
func TestEntryServesAfterShortageOfDescriptors(t *testing.T) {
	d, lis, _ := newBrokenDeployment(t, syscall.EMFILE)
	time.Sleep(pollInterval) // Without it, the accept may meet no shortage, and the test passes.
	lis.broken.Store(false)
	late := d.connect(t)
	late.send(t, "/lookups/x", "", "")
	got := late.receive(t)
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.status, qt.Equals, http.StatusOK)
}

// Guards against an entry whose listener has failed, and that stops without an end to its drain: it never interrupts a request.
func TestEntryWithoutListenerDrains(t *testing.T) {
	gone := errors.New("the listener is gone")
	d, _, caller := newBrokenDeployment(t, gone)
	got := caller.receive(t)
	qt.Check(t, got.err, qt.IsNil)
	qt.Check(t, got.status, qt.Equals, http.StatusGatewayTimeout)
	qt.Check(t, <-d.stopped, qt.ErrorIs, gone)
}
