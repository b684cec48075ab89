package railexecutor_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/admission/railadmission"
	"github.com/fulmarrail/fulmarrail/internal/config/railfile"
	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevisioncache"
	"github.com/fulmarrail/fulmarrail/internal/endpoint/railendpoint"
	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/limit/raillimiter"
	"github.com/fulmarrail/fulmarrail/internal/request/railclaim"
	"github.com/fulmarrail/fulmarrail/internal/request/railexecutor"
	"github.com/fulmarrail/fulmarrail/internal/request/railregistry"
	"github.com/fulmarrail/fulmarrail/internal/request/railverdict"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
	"github.com/fulmarrail/fulmarrail/internal/store/railera"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// panickingEndpoint answers each request with a part, and panics at the paths that say so.
type panickingEndpoint struct {
	railendpoint.Endpoint

	mu   sync.Mutex
	runs map[string]int
	// release lets requests for the path /wait go on.
	release chan struct{}
	// onRun is called at each request, if set.
	onRun func()
}

// panickingError is an error whose text can't be read.
type panickingError struct{}

func (panickingError) Error() string { panic("in the text of an error") }

func (e *panickingEndpoint) Run(_ context.Context, req *railproto.ExecuteRequest, emit func(*railproto.Frame)) (railverdict.Verdict, error) {
	e.mu.Lock()
	e.runs[req.GetPath()]++
	e.mu.Unlock()
	if e.onRun != nil {
		e.onRun()
	}
	switch req.GetPath() {
	case "/error":
		return railverdict.MayHaveRun, panickingError{}
	case "/panic":
		panic("before the response")
	case "/wait":
		<-e.release
	}
	emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_DATA, Data: []byte("part")})
	if req.GetPath() == "/part" {
		panic("in the response")
	}
	emit(&railproto.Frame{Kind: railproto.FrameKind_FRAME_KIND_END, Count: 1, Status: 200})
	return railverdict.Ran, nil
}

// panickingTable panics at the writes of the rows of one key.
type panickingTable struct {
	railtable.Table
	row string
}

func (t panickingTable) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if key == t.row {
		panic("at a write")
	}
	return t.Table.Put(ctx, key, value, version)
}

func newExecutor(t *testing.T, endpoint *panickingEndpoint) *railexecutor.Executor {
	t.Helper()
	const config = "[origin main]\nregion = a\n[service orders]\nkind = plain\nrepeatable = no\n[zone a]\nregion = a\n"
	revision, _, err := railrevision.Revision{}.Next(railfolder.Folder{Stamp: 1}.WithFile(railfile.File{Name: "10.ini", Stamp: 1, Content: config}))
	qt.Assert(t, err, qt.IsNil)
	cache := &railrevisioncache.Cache{}
	cache.Adopt(revision)
	log, era := slog.New(slog.DiscardHandler), &railera.Tracker{}
	return &railexecutor.Executor{
		Admission: &railadmission.Controller{
			Incarnation: "i", Service: "orders", Zone: "a", Config: cache, Log: log,
			Limiter: &raillimiter.Limiter{ColdLimit: 2, MaxLimit: 8, FirstTokenTarget: time.Second},
		},
		Calls: &railregistry.Registry{MaxCalls: 100, MaxBytes: 1 << 20}, Endpoint: endpoint, Log: log,
		Claimer: &railclaim.Claimer{
			Table: era.Watch(panickingTable{Table: &railplatform.Platform{}, row: railclaim.RowName("orders", "castle", "bad")}), Era: era,
			Holder: "agent", Incarnation: "i", Log: log,
		},
	}
}

// execute returns the final frame of a request's response.
func execute(t *testing.T, e *railexecutor.Executor, id, path, key string) *railproto.Frame {
	t.Helper()
	var last *railproto.Frame
	err := e.Execute(t.Context(), &railproto.ExecuteRequest{
		RequestId: id, Incarnation: "i", Service: "orders", Customer: "castle", Path: path, Key: key, Idempotent: key == "", TimeoutMillis: 10_000,
	}, func(f *railproto.Frame) error {
		last = f
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	return last
}

// Guards against a panic in one call that ends the agent's process, and with it all calls, or that keeps a place at the endpoint.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		kind      railproto.FrameKind
		// runs is how often the endpoint gets the request.
		runs int
	}{
		"before the response":               {"/panic", "", railproto.FrameKind_FRAME_KIND_ABORTED, 1},
		"in the response":                   {"/part", "", railproto.FrameKind_FRAME_KIND_ABORTED, 1},
		"with a key":                        {"/panic", "good", railproto.FrameKind_FRAME_KIND_ABORTED, 1},
		"in the response to one with a key": {"/part", "good", railproto.FrameKind_FRAME_KIND_ABORTED, 1},
		"while the key is claimed":          {"/other", "bad", railproto.FrameKind_FRAME_KIND_REFUSED, 0},
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				endpoint := &panickingEndpoint{runs: map[string]int{}, release: make(chan struct{})}
				e := newExecutor(t, endpoint)
				other := make(chan *railproto.Frame, 1)
				go func() { other <- execute(t, e, "other", "/wait", "") }()
				time.Sleep(time.Second)
				last := execute(t, e, "r1", c.path, c.key)
				qt.Check(t, last.GetKind(), qt.Equals, c.kind)
				qt.Check(t, last.GetMayHaveRun(), qt.Equals, c.runs > 0)
				qt.Check(t, last.GetDetail(), qt.Not(qt.Contains), "panic")
				close(endpoint.release)
				qt.Check(t, (<-other).GetKind(), qt.Equals, railproto.FrameKind_FRAME_KIND_END)
				qt.Check(t, execute(t, e, "r2", "/x", "").GetKind(), qt.Equals, railproto.FrameKind_FRAME_KIND_END)
				if c.key != "" && c.runs > 0 { // The key stays claimed, so that the request can't run again.
					again := execute(t, e, "r3", c.path, c.key)
					qt.Check(t, again.GetMayHaveRun(), qt.IsTrue)
				}
				qt.Check(t, endpoint.runs[c.path], qt.Equals, c.runs)
				time.Sleep(time.Second)
				qt.Check(t, e.Calls.Running(), qt.Equals, 0)
				qt.Check(t, e.Admission.Limiter.Load().GetRunning(), qt.Equals, int32(0))
				qt.Check(t, e.Admission.Limiter.Load().GetLimit(), qt.Equals, int32(2))
			})
		})
	}
}

// Guards against "not run" for a call that has panicked after it was passed to the endpoint.
func TestPanicAfterEndpointSaysMayHaveRun(t *testing.T) {
	for _, key := range []string{"", "good"} {
		t.Run("key "+key, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				endpoint := &panickingEndpoint{runs: map[string]int{}}
				e := newExecutor(t, endpoint)
				last := execute(t, e, "r1", "/error", key)
				qt.Check(t, last.GetKind(), qt.Equals, railproto.FrameKind_FRAME_KIND_ABORTED)
				qt.Check(t, last.GetMayHaveRun(), qt.IsTrue)
				time.Sleep(time.Second)
				qt.Check(t, e.Calls.Running(), qt.Equals, 0)
				qt.Check(t, e.Admission.Limiter.Load().GetRunning(), qt.Equals, int32(0))
			})
		})
	}
}

// Guards against "not run" for a call that has panicked while it followed the holder of its key, and against a place at the endpoint that it keeps.
func TestPanicAtHolderOfKeySaysMayHaveRun(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		endpoint := &panickingEndpoint{runs: map[string]int{}}
		e := newExecutor(t, endpoint)
		e.AttachRemote = func(context.Context, string, *railproto.AttachRequest, func(*railproto.Frame) error) error {
			panic("at the holder")
		}
		holder := &railclaim.Claimer{Table: e.Claimer.Table, Era: e.Claimer.Era, Holder: "other", Incarnation: "j", Log: e.Log}
		_, _, err := holder.Claim(t.Context(), railclaim.RowName("orders", "castle", "good"), "r0", railmanifest.Sum(nil), 0)
		qt.Assert(t, err, qt.IsNil)
		last := execute(t, e, "r1", "/x", "good")
		qt.Check(t, last.GetKind(), qt.Equals, railproto.FrameKind_FRAME_KIND_ABORTED)
		qt.Check(t, last.GetMayHaveRun(), qt.IsTrue)
		time.Sleep(time.Second)
		qt.Check(t, endpoint.runs["/x"], qt.Equals, 0)
		qt.Check(t, e.Calls.Running(), qt.Equals, 0)
		qt.Check(t, e.Admission.Limiter.Load().GetRunning(), qt.Equals, int32(0))
	})
}

// Guards against a panic in the decision on a queued call that takes the response of a call that has just ended.
func TestPanicInDecisionOnQueuedCallLeavesEndedCallItsResponse(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		endpoint := &panickingEndpoint{runs: map[string]int{}, release: make(chan struct{})}
		e := newExecutor(t, endpoint)
		ended := make(chan *railproto.Frame, 2)
		for _, id := range []string{"r1", "r2"} {
			go func() { ended <- execute(t, e, id, "/wait", "") }()
		}
		synctest.Wait()
		queued := make(chan railproto.Reason, 1)
		go func() {
			_, reason := e.Admission.Admit(t.Context(), &railproto.ExecuteRequest{RequestId: "r3", Incarnation: "i", Service: "orders"})
			queued <- reason
		}()
		synctest.Wait()
		e.Admission.Config = nil // The check of the queued call panics.
		close(endpoint.release)
		for range 2 {
			qt.Check(t, (<-ended).GetKind(), qt.Equals, railproto.FrameKind_FRAME_KIND_END)
		}
		qt.Check(t, <-queued, qt.Equals, railproto.Reason_REASON_ENDPOINT_REFUSED)
		qt.Check(t, e.Admission.Limiter.Load().GetRunning(), qt.Equals, int32(0))
	})
}

// Guards against a second panic, while the final frame of a call is built, that ends the process, and against a call without a final frame.
func TestPanicInFinalFrameStillEndsCall(t *testing.T) {
	for name, breakState := range map[string]func(*railadmission.Controller){
		"configuration": func(c *railadmission.Controller) { c.Config = nil },
		"limiter":       func(c *railadmission.Controller) { c.Limiter = nil },
	} {
		t.Run(name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				endpoint := &panickingEndpoint{runs: map[string]int{}}
				e := newExecutor(t, endpoint)
				endpoint.onRun = func() { breakState(e.Admission) }
				last := execute(t, e, "r1", "/panic", "")
				qt.Check(t, last.GetKind(), qt.Equals, railproto.FrameKind_FRAME_KIND_ABORTED)
				qt.Check(t, last.GetReason(), qt.Equals, railproto.Reason_REASON_ENDPOINT_FAILED)
				qt.Check(t, last.GetMayHaveRun(), qt.IsTrue)
				time.Sleep(time.Second)
				qt.Check(t, e.Calls.Running(), qt.Equals, 0)
			})
		})
	}
}
