package railregistry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/request/railcall"
	"github.com/fulmarrail/fulmarrail/internal/request/railregistry"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

func newCall(id, key string) *railcall.Call {
	return &railcall.Call{RequestID: id, Key: key}
}

func endCall(r *railregistry.Registry, c *railcall.Call, kind railproto.FrameKind) {
	c.Append(&railproto.Frame{Kind: kind})
	r.End(c)
}

func TestRevokedRequestCannotBegin(t *testing.T) {
	c := qt.New(t)
	r := &railregistry.Registry{MaxCalls: 10, MaxBytes: 1000}
	existing, revoked := r.Revoke("r1", "", time.Second)
	c.Check(existing, qt.IsNil)
	c.Check(revoked, qt.IsTrue)
	begun, existing := r.Begin(newCall("r1", ""))
	c.Check(begun, qt.IsNil)
	c.Check(existing, qt.IsNil)
}

func TestRequestThatMayHaveBeenEvictedCannotBeRevoked(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := &railregistry.Registry{MaxCalls: 1, MaxBytes: 1000}
		time.Sleep(time.Minute)
		for _, id := range []string{"r1", "r2"} {
			begun, _ := r.Begin(newCall(id, ""))
			endCall(r, begun, railproto.FrameKind_FRAME_KIND_END)
			time.Sleep(time.Second)
		}
		c.Assert(r.Find("r1", ""), qt.IsNil)
		_, revoked := r.Revoke("r1", "", 2*time.Second)
		c.Check(revoked, qt.IsFalse)
		_, revoked = r.Revoke("r3", "", time.Second)
		c.Check(revoked, qt.IsTrue)
	})
}

func TestKeyIsFreeOnlyAfterRefusal(t *testing.T) {
	for _, test := range []struct {
		name string
		kind railproto.FrameKind
		free bool
	}{
		{"refused", railproto.FrameKind_FRAME_KIND_REFUSED, true},
		{"aborted", railproto.FrameKind_FRAME_KIND_ABORTED, false},
		{"ended", railproto.FrameKind_FRAME_KIND_END, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := &railregistry.Registry{MaxCalls: 10, MaxBytes: 1000}
			first, _ := r.Begin(newCall("r1", "k"))
			_, existing := r.Begin(newCall("r2", "k"))
			c.Check(existing, qt.Equals, first)
			endCall(r, first, test.kind)
			begun, existing := r.Begin(newCall("r3", "k"))
			c.Check(begun != nil, qt.Equals, test.free)
			c.Check(existing == first, qt.Equals, !test.free)
		})
	}
}
