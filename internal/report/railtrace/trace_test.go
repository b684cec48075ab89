package railtrace_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/report/railtrace"
)

// logs holds lines of two gateways and two carriers, out of order, one with the prefix of a log collector and one that is not a
// log line.
const logs = `
  37.9 gw-1 {"time":"2026-10-08T07:46:05.9Z","level":"INFO","msg":"front: request refused","role":"gateway","name":"gw-1","request":"aa11","status":503,"reason":"no endpoint can begin the answer in time"}
{"time":"2026-10-08T07:46:05.1Z","level":"INFO","msg":"front: attempt failed","role":"gateway","name":"gw-1","request":"aa11","endpoint":"e-7","verdict":0,"err":"connection refused"}
{"time":"2026-10-08T07:46:05.2Z","level":"INFO","msg":"front: request refused","role":"gateway","name":"gw-1","request":"bb22","status":503}
{"time":"2026-10-08T07:40:00Z","level":"INFO","msg":"config: configuration in force","role":"gateway","name":"gw-1","version":2,"before":1}
{"time":"2026-10-08T07:41:00Z","level":"INFO","msg":"config: configuration in force","role":"gateway","name":"gw-1","version":3,"before":2}
{"time":"2026-10-08T07:41:00Z","level":"INFO","msg":"config: configuration in force","role":"gateway","name":"gw-2","version":3,"before":2}
{"time":"2026-10-08T07:46:04Z","level":"INFO","msg":"fleet: endpoint is gone","role":"gateway","name":"gw-2","endpoint":"e-7"}
{"time":"2026-10-08T07:46:04Z","level":"INFO","msg":"fleet: endpoint is gone","role":"gateway","name":"gw-1","endpoint":"e-8"}
{"time":"2026-10-08T07:30:04Z","level":"INFO","msg":"fleet: endpoint appears","role":"gateway","name":"gw-1","endpoint":"e-7","address":"10.0.0.7:80"}
{"time":"2026-10-08T07:46:01Z","level":"INFO","msg":"rollout: load ordered","role":"carrier","name":"c-7","engine":"10.0.0.7:80","version":3}
{"time":"2026-10-08T07:46:01Z","level":"INFO","msg":"rollout: load ordered","role":"carrier","name":"c-8","engine":"10.0.0.8:80","version":3}
{"time":"2026-10-08T07:47:00Z","level":"WARN","msg":"store: store lost","role":"gateway","name":"gw-1","table":"op"}
panic: not a line of a log
`

func TestTraceSortsRequestLinesAndKeepsRelatedLines(t *testing.T) {
	c := qt.New(t)
	trace := railtrace.New("aa11")
	c.Assert(trace.Read(strings.NewReader(logs)), qt.IsNil)
	trace.Finish()
	c.Check(trace.Outcome, qt.Equals, "answered by the entry with 503, no endpoint can begin the answer in time")
	c.Check(trace.UnparsedLines, qt.Equals, 1)
	var out bytes.Buffer
	trace.WriteText(&out)
	c.Check(out.String(), qt.Equals, `request aa11: answered by the entry with 503, no endpoint can begin the answer in time
  07:46:05.100000  gw-1  front: attempt failed role=gateway endpoint=e-7 verdict=0 err="connection refused"
  07:46:05.900000  gw-1  front: request refused role=gateway status=503 reason="no endpoint can begin the answer in time"
what the processes that decided had learned before:
  07:41:00.000000  gw-1  config: configuration in force role=gateway version=3 before=2
  07:46:01.000000  c-7  rollout: load ordered role=carrier engine=10.0.0.7:80 version=3
  07:46:04.000000  gw-2  fleet: endpoint is gone role=gateway endpoint=e-7
1 lines are not of a process's log and were left out
`)
}

func TestOutcomeReportsRequestWithoutLines(t *testing.T) {
	trace := railtrace.New("cc33")
	qt.Assert(t, trace.Read(strings.NewReader(logs)), qt.IsNil)
	trace.Finish()
	qt.Check(t, trace.Lines, qt.HasLen, 0)
	qt.Check(t, trace.Outcome, qt.Contains, "no line names it")
}

// An endpoint that has said of itself that it leaves, or wants no requests, gets none, however long ago that was.
func TestTraceOfRefusedRequestShowsWhatEndpointsHaveSaidOfThemselves(t *testing.T) {
	const selfReports = `
{"time":"2026-10-08T07:30:00Z","level":"INFO","msg":"fleet: endpoint leaves","role":"gateway","name":"gw-1","endpoint":"e-1","source":"response","age":0}
{"time":"2026-10-08T07:45:00Z","level":"INFO","msg":"fleet: endpoint asks for no requests","role":"gateway","name":"gw-1","endpoint":"e-2","source":"response","age":0,"for":2000000000}
{"time":"2026-10-08T07:45:03Z","level":"INFO","msg":"fleet: endpoint gets requests again","role":"gateway","name":"gw-1","endpoint":"e-2","source":"response","age":1000000000}
{"time":"2026-10-08T07:45:50Z","level":"INFO","msg":"fleet: endpoint asks for no requests","role":"gateway","name":"gw-1","endpoint":"e-2","source":"response","age":0,"for":60000000000}
{"time":"2026-10-08T07:45:50Z","level":"INFO","msg":"fleet: endpoint asks for no requests","role":"gateway","name":"gw-2","endpoint":"e-2","source":"response","age":0,"for":60000000000}
{"time":"2026-10-08T07:45:51Z","level":"INFO","msg":"fleet: endpoint limits requests","role":"gateway","name":"gw-1","endpoint":"e-3","source":"entry","perSecond":0.5,"share":0,"window":4000000000}
{"time":"2026-10-08T07:46:05.9Z","level":"INFO","msg":"front: request refused","role":"gateway","name":"gw-1","request":"aa11","status":503,"reason":"all endpoints ask for no requests for now"}
`
	trace := railtrace.New("aa11")
	qt.Assert(t, trace.Read(strings.NewReader(selfReports)), qt.IsNil)
	trace.Finish()
	var shown []string
	for _, line := range trace.RelatedLines {
		shown = append(shown, line.Process+" "+line.Message+" "+line.Get("endpoint"))
	}
	qt.Check(t, shown, qt.DeepEquals, []string{"gw-1 fleet: endpoint leaves e-1", "gw-1 fleet: endpoint asks for no requests e-2", "gw-1 fleet: endpoint limits requests e-3"})
}
