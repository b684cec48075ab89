package railgateway_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/node/railgateway"
)

// Guards against a panic that keeps the trial of a suspected part of prompts: no other request with that part would run until the quarantine takes the
// trial for lost.
func TestPanicEndsItsTrial(t *testing.T) {
	near := &endpoint{name: "near", handlers: sequence(withHeader(panicHeader, panicAnswer, respondOK), respondOK)}
	d := newCustomDeployment(t, func(g *railgateway.Gateway) { g.Translator = panickingTranslator{} }, near)
	pass, err := d.gateway.Quarantine.Enter(t.Context(), []string{"desk/" + sharedPart}, time.Now())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, pass.Begin(), qt.IsTrue)
	pass.EngineEnded("other") // The part is suspected now, so that the next request with it is a trial.
	qt.Check(t, d.callWithPrompt(t, "/unsafe/x", sharedPart+":10,b2:10").status, qt.Equals, http.StatusBadGateway)
	began := time.Now() // The quarantine takes a trial for lost after a second.
	qt.Check(t, d.callWithPrompt(t, "/unsafe/x", sharedPart+":10,b2:10").status, qt.Equals, http.StatusOK)
	qt.Check(t, time.Since(began) < 500*time.Millisecond, qt.IsTrue)
}
