package railpublisher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
	"github.com/fulmarrail/fulmarrail/internal/store/railobjects"
)

// Guards against a confirmed revision that is lost for good with the row or its content: nobody wrote it again.
func TestLostRevisionIsPublishedAgain(t *testing.T) {
	for _, test := range []struct {
		name string
		// lost is the age of the copy from which the store is restored two seconds after the second revision.
		lost     time.Duration
		readOnly bool
		want     int
	}{
		{"the last revision is lost", 5 * time.Second, false, 2},
		{"all revisions are lost", time.Hour, false, 2},
		{"nothing is lost", time.Second, false, 2},
		{"a process that only follows writes nothing", 5 * time.Second, true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			railvirtualtime.Test(t, func(t *testing.T) {
				c := qt.New(t)
				platform := &railplatform.Platform{}
				view := newFolder(1, "[customer castle]\nweight = 1\n")
				p := newPublisher(platform, platform, &view)
				c.Check(p.Sync(t.Context()), qt.IsNil)
				time.Sleep(10 * time.Second)
				view = newFolder(2, "[customer castle]\nweight = 2\n")
				c.Check(p.Sync(t.Context()), qt.IsNil)
				time.Sleep(2 * time.Second)
				platform.Restore(test.lost)
				p.ReadOnly = test.readOnly
				_, err := p.Pull(t.Context())
				c.Check(err, qt.IsNil)
				c.Check(customerWeight(p), qt.Equals, 2)
				time.Sleep(10 * time.Second)
				late := newPublisher(platform, platform, &view)
				late.Era.Observe(1, time.Hour)
				_, err = late.Pull(t.Context())
				c.Check(err, qt.IsNil)
				c.Check(customerWeight(late), qt.Equals, test.want)
			})
		})
	}
}

// Guards against a revision that nobody can read since its content was written before the restore and its row after it.
func TestLostContentIsWrittenAgain(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{}
		view := newFolder(1, "[customer castle]\nweight = 1\n")
		table := &hookedTable{Table: platform}
		p := newPublisher(platform, table, &view)
		table.beforePut = func() { platform.Restore(time.Second) }
		c.Check(p.Sync(t.Context()), qt.IsNil)
		_, err := p.Pull(t.Context())
		c.Check(err, qt.IsNil)
		late := newPublisher(platform, platform, &view)
		late.Era.Observe(1, time.Hour)
		_, err = late.Pull(t.Context())
		c.Check(err, qt.IsNil)
		c.Check(customerWeight(late), qt.Equals, 1)
	})
}

// Guards against an older revision at a process that starts just after the restore, before another one has published the newer one again.
func TestStartingProcessDoesNotTakeRevisionOfJustRestoredStore(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := qt.New(t)
		platform := &railplatform.Platform{}
		view := newFolder(1, "[customer castle]\nweight = 1\n")
		c.Check(newPublisher(platform, platform, &view).Sync(t.Context()), qt.IsNil)
		time.Sleep(10 * time.Second)
		platform.Restore(time.Second)
		late := newPublisher(platform, platform, &view)
		_, err := late.Pull(t.Context())
		c.Check(err, qt.IsNotNil)
		c.Check(late.Revisions.Number(), qt.Equals, uint64(0))
		time.Sleep(6 * time.Second)
		_, err = late.Pull(t.Context())
		c.Check(err, qt.IsNil)
		c.Check(late.Revisions.Number(), qt.Equals, uint64(1))
	})
}

// lossyObjects has lost the objects of one platform that another one has.
type lossyObjects struct {
	railobjects.Objects
}

func (lossyObjects) Read(context.Context, string) ([]byte, error) {
	return nil, errors.New("the object was lost")
}

// Guards against a row that blocks all changes, since it names a revision whose content nobody has any more.
func TestRevisionWithoutContentIsReplaced(t *testing.T) {
	for _, test := range []struct {
		name string
		// changes is the number of revisions that are published after the one that the publisher knows.
		changes  int
		attempts int
	}{
		{"the same revision number, or a lower one", 0, 10},
		{"a newer revision", 1, 60},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			platform, elsewhere := &railplatform.Platform{}, &railplatform.Platform{}
			view, otherView := newFolder(2, "[customer castle]\nweight = 2\n"), newFolder(1, "[customer castle]\nweight = 1\n")
			p := newPublisher(platform, elsewhere, &view)
			c.Assert(p.Sync(t.Context()), qt.IsNil)
			other := newPublisher(platform, platform, &otherView)
			for n := range 1 + test.changes {
				otherView = newFolder(int64(1+n), fmt.Sprintf("[customer castle]\nweight = 1%d\n", n))
				c.Assert(other.Sync(t.Context()), qt.IsNil)
			}
			p.Table = platform
			p.Objects = lossyObjects{Objects: platform}
			for range test.attempts - 1 {
				_, err := p.Pull(t.Context())
				c.Assert(err, qt.IsNotNil)
			}
			_, err := p.Pull(t.Context())
			c.Assert(err, qt.IsNil)
			_, err = other.Pull(t.Context())
			c.Assert(err, qt.IsNil)
			c.Check(other.Revisions.Number(), qt.Equals, p.Revisions.Number())
			c.Check(customerWeight(p), qt.Equals, 2)
		})
	}
}
