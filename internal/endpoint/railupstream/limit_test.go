package railupstream_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railupstream"
	"github.com/fulmarrail/fulmarrail/internal/request/railheader"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// runOnce sends a request and ignores its outcome.
func runOnce(t *testing.T, client *railupstream.Client) {
	t.Helper()
	_, _ = client.Run(t.Context(), &railproto.ExecuteRequest{Path: "/", Idempotent: true}, func(*railproto.Frame) {})
}

// Guards against a limit that an endpoint names in any of its responses, refusals and failures too, and nobody reads.
func TestLimitIsReportedFromEachResponse(t *testing.T) {
	for name, test := range map[string]struct {
		values    []string
		status    int
		want      []railendpoint.LimitReport
		malformed int
	}{
		"none":          {nil, fasthttp.StatusOK, []railendpoint.LimitReport{{}}, 0},
		"named":         {[]string{"3.2"}, fasthttp.StatusOK, []railendpoint.LimitReport{{Limited: true, PerSecond: 3.2}}, 0},
		"in a refusal":  {[]string{"0"}, fasthttp.StatusServiceUnavailable, []railendpoint.LimitReport{{Limited: true}}, 0},
		"in a failure":  {[]string{"1"}, fasthttp.StatusInternalServerError, []railendpoint.LimitReport{{Limited: true, PerSecond: 1}}, 0},
		"named twice":   {[]string{"3", "2"}, fasthttp.StatusOK, []railendpoint.LimitReport{{Limited: true, PerSecond: 2}}, 0},
		"malformed":     {[]string{"many"}, fasthttp.StatusOK, nil, 1},
		"one malformed": {[]string{"-1", "2"}, fasthttp.StatusOK, []railendpoint.LimitReport{{Limited: true, PerSecond: 2}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := startServer(c, func(ctx *fasthttp.RequestCtx) {
				for _, value := range test.values {
					ctx.Response.Header.Add("Server-Limit", value)
				}
				ctx.SetStatusCode(test.status)
			})
			var got []railendpoint.LimitReport
			client.OnLimit = func(r railendpoint.LimitReport) {
				c.Check(r.SentAt.IsZero(), qt.IsFalse)
				got = append(got, railendpoint.LimitReport{Control: r.Control, PerSecond: r.PerSecond, Limited: r.Limited})
			}
			malformed := 0
			client.OnReport = func(_ string, said railheader.SelfReport) { malformed += len(said.Malformed) }
			runOnce(t, client)
			c.Check(got, qt.DeepEquals, test.want)
			c.Check(malformed, qt.Equals, test.malformed)
		})
	}
}

// Guards against a limit that seems to end since a call that looks after the endpoint has got no response.
func TestFailedControlRequestSaysNothingOfTheLimit(t *testing.T) {
	client := &railupstream.Client{Address: "127.0.0.1:1", OnLimit: func(railendpoint.LimitReport) { t.Error("limit reported without a response") }}
	_, err := client.Chunks(t.Context())
	qt.Check(t, err, qt.IsNotNil)
}

func TestLimitInResponseToControlRequestStatesTheIncarnation(t *testing.T) {
	c := qt.New(t)
	client := startServer(c, func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("Server-Limit", "2")
		ctx.SetBodyString(`{"digest": "d", "incarnation": "e"}`)
	})
	var got []railendpoint.LimitReport
	client.OnLimit = func(r railendpoint.LimitReport) { got = append(got, r) }
	_, _, err := client.LoadedWeights(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Incarnation, qt.Equals, "e")
	c.Check(got[0].Control, qt.IsTrue)
	c.Check(got[0].PerSecond, qt.Equals, 2.0)
}
