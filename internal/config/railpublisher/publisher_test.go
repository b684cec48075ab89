package railpublisher_test

import (
	"context"
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railfile"
	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railpublisher"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevisioncache"
	"github.com/fulmarrail/fulmarrail/internal/standin/railplatform"
	"github.com/fulmarrail/fulmarrail/internal/store/railera"
	"github.com/fulmarrail/fulmarrail/internal/store/railtable"
	"github.com/fulmarrail/fulmarrail/internal/store/railweights"
)

// hookedTable calls beforePut once before a write, to simulate a writer that is paused at that point.
type hookedTable struct {
	railtable.Table
	beforePut func()
}

func (h *hookedTable) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if hook := h.beforePut; hook != nil {
		h.beforePut = nil
		hook()
	}
	return h.Table.Put(ctx, key, value, version)
}

func newFolder(stamp int64, content string) railfolder.Folder {
	f := railfolder.Folder{Stamp: 1}
	return f.WithFile(railfile.File{Name: "10.ini", Stamp: stamp, Content: content})
}

func newPublisher(platform *railplatform.Platform, table railtable.Table, view *railfolder.Folder) *railpublisher.Publisher {
	era := &railera.Tracker{}
	return &railpublisher.Publisher{
		Table: era.Watch(table), Era: era, Objects: platform, Revisions: &railrevisioncache.Cache{}, ResolveVersion: railweights.Origin{Objects: platform}.ResolveVersion,
		ReadFolder: func() (railfolder.Folder, error) { return *view, nil }, Log: slog.New(slog.DiscardHandler),
	}
}

func customerWeight(p *railpublisher.Publisher) int {
	revision, _ := p.Revisions.Current()
	customer, _ := revision.Spec().Customer("castle")
	return customer.Weight
}

func TestPausedPublisherDoesNotReplaceNewerRevision(t *testing.T) {
	c := qt.New(t)
	platform := &railplatform.Platform{}
	oldView, newView := newFolder(1, "[customer castle]\nweight = 1\n"), newFolder(2, "[customer castle]\nweight = 2\n")
	table := &hookedTable{Table: platform}
	paused, other := newPublisher(platform, table, &oldView), newPublisher(platform, platform, &newView)
	table.beforePut = func() { c.Assert(other.Sync(t.Context()), qt.IsNil) }
	c.Assert(paused.Sync(t.Context()), qt.IsNil)
	c.Check(customerWeight(paused), qt.Equals, 2)
	c.Check(paused.Revisions.Number(), qt.Equals, uint64(1))
	c.Assert(other.Sync(t.Context()), qt.IsNil)
	c.Check(customerWeight(other), qt.Equals, 2)
}

func TestPublisherReadsRowBackAfterLostReply(t *testing.T) {
	c := qt.New(t)
	platform := &railplatform.Platform{}
	view := newFolder(1, "[customer castle]\nweight = 1\n")
	p := newPublisher(platform, platform, &view)
	platform.SetResponseLoss(1)
	c.Assert(p.Sync(t.Context()), qt.IsNil)
	c.Check(p.Revisions.Number(), qt.Equals, uint64(1))
	c.Assert(p.Sync(t.Context()), qt.IsNil)
	c.Check(p.Revisions.Number(), qt.Equals, uint64(1), qt.Commentf("an accepted revision was published again"))
}

func TestInvalidFileIsRejectedAndOthersAreAccepted(t *testing.T) {
	c := qt.New(t)
	platform := &railplatform.Platform{}
	view := newFolder(1, "[customer castle]\nweight = 1\n")
	p := newPublisher(platform, platform, &view)
	c.Assert(p.Sync(t.Context()), qt.IsNil)
	view = newFolder(2, "[customer castle]\nwieght = 5\n").WithFile(railfile.File{Name: "20.ini", Stamp: 2, Content: "[zone a]\nregion = a\nstate = out\n"})
	c.Assert(p.Sync(t.Context()), qt.IsNil)
	revision, _ := p.Revisions.Current()
	c.Check(customerWeight(p), qt.Equals, 1)
	c.Check(revision.ZoneOut("a"), qt.IsTrue)
	c.Check(revision.Rejections()["10.ini"], qt.Equals, "10.ini:2: [customer castle] wieght: unknown key; known keys near it: weight")
}

func TestVersionIsPinnedToItsFirstManifest(t *testing.T) {
	c := qt.New(t)
	platform := &railplatform.Platform{}
	base := "[origin main]\nregion = a\n[service chat]\nkind = engine\nversion = "
	view := newFolder(1, base+"v1\n")
	first := platform.AddWeights("v1", []byte("one"), 2)
	p := newPublisher(platform, platform, &view)
	c.Assert(p.Sync(t.Context()), qt.IsNil)
	view = newFolder(2, base+"v2\n")
	c.Assert(p.Sync(t.Context()), qt.IsNil)
	revision, _ := p.Revisions.Current()
	c.Check(revision.Manifests["chat"], qt.Equals, first.Digest())
	c.Check(revision.Pending["chat"], qt.Equals, "v2")
	second := platform.AddWeights("v2", []byte("two"), 2)
	c.Assert(p.Sync(t.Context()), qt.IsNil)
	platform.AddWeights("v2", []byte("another two"), 2)
	c.Assert(p.Sync(t.Context()), qt.IsNil)
	revision, _ = p.Revisions.Current()
	c.Check(revision.Manifests["chat"], qt.Equals, second.Digest())
	c.Check(revision.Pending, qt.HasLen, 0)
}
