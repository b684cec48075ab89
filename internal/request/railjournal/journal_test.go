package railjournal_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtual"
	"github.com/fulmarrail/fulmarrail/internal/request/railcall"
	"github.com/fulmarrail/fulmarrail/internal/request/railjournal"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

func call(id, key string) *railcall.Call {
	return &railcall.Call{RequestID: id, Key: key}
}

func end(j *railjournal.Registry, c *railcall.Call, kind railproto.FrameKind) {
	c.Append(&railproto.Frame{Kind: kind})
	j.End(c)
}

func TestRevokedRequestNeverBegins(t *testing.T) {
	c := qt.New(t)
	j := &railjournal.Registry{MaxCalls: 10, MaxBytes: 1000}
	standing, never := j.Revoke("r1", "", time.Second)
	c.Check(standing, qt.IsNil)
	c.Check(never, qt.IsTrue)
	begun, standing := j.Begin(call("r1", ""))
	c.Check(begun, qt.IsNil)
	c.Check(standing, qt.IsNil)
}

func TestForgottenRequestIsNotReportedAsNeverBegun(t *testing.T) {
	railvirtual.Test(t, func(t *testing.T) {
		c := qt.New(t)
		j := &railjournal.Registry{MaxCalls: 1, MaxBytes: 1000}
		time.Sleep(time.Minute)
		for _, id := range []string{"r1", "r2"} {
			begun, _ := j.Begin(call(id, ""))
			end(j, begun, railproto.FrameKind_FRAME_KIND_END)
			time.Sleep(time.Second)
		}
		c.Assert(j.Find("r1", ""), qt.IsNil)
		_, never := j.Revoke("r1", "", 2*time.Second)
		c.Check(never, qt.IsFalse)
		_, never = j.Revoke("r3", "", time.Second)
		c.Check(never, qt.IsTrue)
	})
}

func TestKeyIsFreeAgainOnlyAfterARefusal(t *testing.T) {
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
			j := &railjournal.Registry{MaxCalls: 10, MaxBytes: 1000}
			first, _ := j.Begin(call("r1", "k"))
			_, standing := j.Begin(call("r2", "k"))
			c.Check(standing, qt.Equals, first)
			end(j, first, test.kind)
			begun, standing := j.Begin(call("r3", "k"))
			c.Check(begun != nil, qt.Equals, test.free)
			c.Check(standing == first, qt.Equals, !test.free)
		})
	}
}
