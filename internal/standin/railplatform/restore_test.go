package railplatform_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
)

func TestRestoreUndoesTheLastChangesAndWritesTheListAgain(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := t.Context()
		p := &railplatform.Platform{}
		put := func(key string) {
			_, err := p.Put(ctx, key, []byte("1"), 0)
			c.Assert(err, qt.IsNil)
			c.Assert(p.Write(ctx, key, []byte("1")), qt.IsNil)
			p.SetMember(railmember.Member{Name: key})
			_, err = p.Members(ctx, "")
			c.Assert(err, qt.IsNil)
		}
		names := func() []string {
			members, err := p.Members(ctx, "")
			c.Assert(err, qt.IsNil)
			var names []string
			for _, m := range members {
				names = append(names, m.Name)
			}
			return names
		}
		put("kept")
		time.Sleep(10 * time.Second)
		put("lost")
		p.Restore(5 * time.Second)
		for key, kept := range map[string]bool{"kept": true, "lost": false} {
			_, version, err := p.Get(ctx, key)
			c.Assert(err, qt.IsNil)
			c.Check(version > 0, qt.Equals, kept)
			_, err = p.Read(ctx, key)
			c.Check(err == nil, qt.Equals, kept)
		}
		c.Check(p.Era(), qt.Equals, int64(1))
		c.Check(names(), qt.DeepEquals, []string{"kept"})
		time.Sleep(5 * time.Second)
		c.Check(names(), qt.DeepEquals, []string{"kept", "lost"})
	})
}
