package railupstream_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Guards against an answer from corrupt weights that is no event stream, so that it doesn't state its weights.
func TestAnswerThatIsNoStreamComesFromIntactWeights(t *testing.T) {
	for name, test := range map[string]struct {
		// state is the response to a request for the engine's state after the answer, or empty if it fails.
		state   string
		status  int
		verdict railverdict.Verdict
		unknown bool
	}{
		"intact weights":           {`{"digest": "intact", "incarnation": "e"}`, fasthttp.StatusOK, railverdict.Ran, false},
		"other weights":            {`{"digest": "corrupt", "incarnation": "e"}`, fasthttp.StatusOK, railverdict.MayHaveRun, true},
		"the engine loads weights": {`{"digest": "", "incarnation": "e"}`, fasthttp.StatusOK, railverdict.MayHaveRun, false},
		"the state is not known":   {"", fasthttp.StatusOK, railverdict.MayHaveRun, false},
		"error of the request":     {"", fasthttp.StatusBadRequest, railverdict.Ran, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			state := `{"digest": "intact", "incarnation": "e"}`
			client := startServer(c, func(ctx *fasthttp.RequestCtx) {
				switch {
				case string(ctx.Path()) != "/state":
					ctx.SetStatusCode(test.status)
					ctx.SetBodyString("answer")
				case state == "":
					ctx.SetStatusCode(fasthttp.StatusInternalServerError)
				default:
					ctx.SetBodyString(state)
				}
			})
			client.Intact = func(digest string) bool { return digest == "intact" }
			_, _, err := client.LoadedWeights(t.Context())
			c.Assert(err, qt.IsNil)
			state = test.state
			var frames []*railproto.Frame
			verdict, err := client.Run(t.Context(), &railproto.ExecuteRequest{Path: "/", Idempotent: true}, func(f *railproto.Frame) { frames = append(frames, f) })
			c.Check(verdict, qt.Equals, test.verdict, qt.Commentf("%v", err))
			c.Check(len(frames) > 0, qt.Equals, test.verdict == railverdict.Ran)
			c.Check(errors.Is(err, railendpoint.ErrUnknownWeights), qt.Equals, test.unknown)
		})
	}
}

func TestAnswerOfPlainServiceNeedsNoWeights(t *testing.T) {
	c := qt.New(t)
	client := startServer(c, func(ctx *fasthttp.RequestCtx) {
		c.Check(string(ctx.Path()), qt.Equals, "/")
		ctx.SetBodyString("answer")
	})
	client.Intact = func(string) bool { return false }
	verdict, err := client.Run(t.Context(), &railproto.ExecuteRequest{Path: "/"}, func(*railproto.Frame) {})
	c.Check(verdict, qt.Equals, railverdict.Ran, qt.Commentf("%v", err))
}
