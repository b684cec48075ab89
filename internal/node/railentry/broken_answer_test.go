package railentry_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against broken answers of an endpoint that callers of an entry get, or that count as a refusal.
func TestBrokenAnswerIsNeitherPassedOnNorProof(t *testing.T) {
	const end = "Content-Length: 4\r\n\r\ndone"
	d := newDrainDeployment(t, longDrain, asIs)
	for name, answer := range map[string]string{
		"status 000":                  "HTTP/1.1 000 OK\r\n" + end,
		"status 000 without a length": "HTTP/1.1 000 OK\r\n\r\ndone",
		"status 999":                  "HTTP/1.1 999 Text\r\n" + end,
		"blank in a name":             "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + end,
		"blank after a name":          "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n" + end,
		"control byte in a name":      "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n" + end,
		"blank after a length":        "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\ndone and more",
		"blank in a refusal's name":   "HTTP/1.1 503 Service Unavailable\r\nX Odd: 1\r\n" + end,
	} {
		for _, service := range []string{"orders", "lookups"} {
			t.Run(name+", "+service, func(t *testing.T) {
				caller := d.connect(t)
				caller.send(t, "/"+service+"/x", answer, "Fulmarrail-Deadline: 2s\r\n")
				got := caller.receive(t)
				qt.Check(t, got.err, qt.IsNil)
				qt.Check(t, got.verdict, qt.Equals, "mayHaveRun")
				qt.Check(t, got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout, qt.IsTrue, qt.Commentf("status %d", got.status))
			})
		}
	}
	caller := d.connect(t)
	caller.send(t, "/orders/x", "HTTP/1.1 200 OK\r\n"+end, "")
	qt.Check(t, caller.receive(t).body, qt.Equals, "done", qt.Commentf("a sound answer"))
}
