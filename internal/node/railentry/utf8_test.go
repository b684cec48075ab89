package railentry_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that no agent can be sent, since it is not valid text: it was tried until its deadline, and took each agent out of
// the choice for other requests.
func TestRequestThatIsNotValidTextIsRejectedAtOnce(t *testing.T) {
	d := newDrainDeployment(t, longDrain, asIs)
	for name, test := range map[string]struct{ path, headers string }{
		"path":         {"/lookups/%ff", ""},
		"content type": {"/lookups/x", "Content-Type: \xff\r\n"},
		"key":          {"/lookups/x", "Idempotency-Key: \xff\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			caller := d.connect(t)
			caller.send(t, test.path, "", test.headers)
			got := caller.receive(t)
			qt.Check(t, got.err, qt.IsNil)
			qt.Check(t, got.status, qt.Equals, http.StatusBadRequest)
			qt.Check(t, got.verdict, qt.Equals, "notRun")
			caller.send(t, "/lookups/x", "", "Fulmarrail-Deadline: 100ms\r\n")
			qt.Check(t, caller.receive(t).status, qt.Equals, http.StatusOK)
		})
	}
}
