package railentry_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// firstByteDelay is shorter than a drain awaits the first request on a new connection.
const firstByteDelay = 300 * time.Millisecond

// halves are the two halves of requests that arrive slowly.
func halves() map[string][2]string {
	request := requestTo("/lookups/x", "0123456789", "")
	return map[string][2]string{
		"in the head": {request[:40], request[40:]},
		"in the body": {request[:len(request)-5], request[len(request)-5:]},
	}
}

// checkRefusedByDrain checks that the drain refuses the request on a connection and then ends.
func (d *drainDeployment) checkRefusedByDrain(t *testing.T, caller *callerConn) {
	t.Helper()
	got := caller.receive(t)
	qt.Assert(t, got.err, qt.IsNil)
	qt.Check(t, got.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, got.verdict, qt.Equals, "notRun")
	qt.Check(t, got.closes, qt.IsTrue)
	qt.Check(t, <-d.stopped, qt.IsNil)
}

// Guards against a request that is cut without an answer, since it arrives slowly while the entry stops.
func TestRequestThatArrivesSlowlyDuringDrainIsAnswered(t *testing.T) {
	for name, request := range halves() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDrainDeployment(t, longDrain, asIs)
			caller := d.connect(t)
			_, err := io.WriteString(caller, request[0])
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(pollInterval)
			d.stop()
			time.Sleep(6 * time.Second) // The HTTP server's shutdown ends connections that are older than 5 s before they have sent a head.
			_, err = io.WriteString(caller, request[1])
			qt.Assert(t, err, qt.IsNil)
			d.checkRefusedByDrain(t, caller)
		})
	}
}

// Guards against a request that ends without a word, since it has not arrived in full when the drain ends.
func TestEndOfDrainRejectsRequestThatHasNotArrived(t *testing.T) {
	for name, request := range halves() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDrainDeployment(t, 300*time.Millisecond, asIs)
			caller := d.connect(t)
			_, err := io.WriteString(caller, request[0])
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(pollInterval)
			d.stop()
			d.checkRefusedByDrain(t, caller)
		})
	}
}

// Guards against a drain that waits for callers which have opened a connection and send nothing.
func TestDrainDoesNotWaitForConnectionWithoutRequest(t *testing.T) {
	d := newDrainDeployment(t, longDrain, asIs)
	caller := d.connect(t)
	start := time.Now()
	d.stop()
	_, err := caller.reader.ReadByte()
	qt.Check(t, err, qt.ErrorIs, io.EOF)
	qt.Check(t, <-d.stopped, qt.IsNil)
	qt.Check(t, time.Since(start) < longDrain, qt.IsTrue)
}

// Guards against a response that is not written until the next request on its connection has arrived in full.
func TestResponseDoesNotWaitForNextRequest(t *testing.T) {
	d := newDrainDeployment(t, longDrain, asIs)
	caller := d.connect(t)
	request := requestTo("/lookups/x", "0123456789", "")
	_, err := io.WriteString(caller, request+request[:len(request)-5])
	qt.Assert(t, err, qt.IsNil)
	got := caller.receive(t)
	qt.Assert(t, got.err, qt.IsNil)
	qt.Check(t, got.status, qt.Equals, http.StatusOK)
}

// Guards against a request that is cut without an answer, since its first byte arrives after the stop on a connection that was new, and the rest slowly.
func TestRequestThatBeginsAfterTheStopAndArrivesSlowlyIsAnswered(t *testing.T) {
	for name, request := range halves() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDrainDeployment(t, longDrain, asIs)
			caller := d.connect(t)
			time.Sleep(pollInterval)
			d.stop()
			time.Sleep(firstByteDelay)
			_, err := io.WriteString(caller, request[0])
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(6 * time.Second) // The HTTP server's shutdown ends connections that are older than 5 s before they have sent a head.
			_, err = io.WriteString(caller, request[1])
			qt.Check(t, err, qt.IsNil)
			d.checkRefusedByDrain(t, caller)
		})
	}
}

// Guards against a request that ends without a word, since it begins to arrive after the stop and has not arrived in full when the drain ends.
func TestEndOfDrainRejectsRequestThatHasBegunAfterTheStop(t *testing.T) {
	for name, request := range halves() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDrainDeployment(t, 4*firstByteDelay, asIs)
			caller := d.connect(t)
			time.Sleep(pollInterval)
			d.stop()
			time.Sleep(firstByteDelay)
			_, err := io.WriteString(caller, request[0])
			qt.Assert(t, err, qt.IsNil)
			d.checkRefusedByDrain(t, caller)
		})
	}
}
