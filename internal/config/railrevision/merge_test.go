package railrevision_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railfile"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
)

func newView(c *qt.C, number uint64, folderStamp int64, files ...railfile.File) railrevision.Revision {
	content := railrevision.Revision{Number: number, FolderStamp: folderStamp, Files: files}.Encode()
	r, err := railrevision.Decode(content)
	c.Assert(err, qt.IsNil)
	return r
}

func newFile(name string, stamp int64, content string) railfile.File {
	return railfile.File{Name: name, Stamp: stamp, Content: content}
}

// Guards against a change that goes back, or entries that publish for ever, after two revisions were derived from the same one.
func TestMergedRevisionSupersedesBoth(t *testing.T) {
	const (
		first  = "[customer castle]\nweight = 1\n"
		second = "[customer castle]\nweight = 2\n"
		forge  = "[customer forge]\nweight = 3\n"
		clash  = "[customer forge]\nweight = 4\nunknown = 1\n"
	)
	for _, test := range []struct {
		name  string
		a, b  []railfile.File
		stamp int64
		want  []string
	}{
		{"each has a newer file", []railfile.File{newFile("1.ini", 5, second), newFile("2.ini", 2, "")}, []railfile.File{newFile("1.ini", 1, first), newFile("2.ini", 4, forge)}, 1, []string{second, forge}},
		{"the newer view has another file", []railfile.File{newFile("1.ini", 5, second)}, []railfile.File{newFile("1.ini", 1, first), newFile("2.ini", 4, forge)}, 2, []string{second, forge}},
		{"the newer view has lost a file", []railfile.File{newFile("1.ini", 5, second), newFile("2.ini", 4, forge)}, []railfile.File{newFile("1.ini", 1, first)}, 2, []string{second}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			a, b := newView(c, 5, 1, test.a...), newView(c, 7, test.stamp, test.b...)
			c.Check(a.Supersedes(b) && b.Supersedes(a), qt.IsFalse)
			for _, merged := range []railrevision.Revision{a.Merge(b), b.Merge(a)} {
				c.Check(merged.Supersedes(a), qt.IsTrue)
				c.Check(merged.Supersedes(b), qt.IsTrue)
				c.Check(merged.Number, qt.Equals, uint64(8))
				var contents []string
				for _, f := range merged.Files {
					contents = append(contents, f.Content)
				}
				c.Check(contents, qt.DeepEquals, test.want)
			}
		})
	}
	t.Run("the merged files are invalid", func(t *testing.T) {
		c := qt.New(t)
		a := newView(c, 5, 2, newFile("1.ini", 1, first))
		b := railrevision.Revision{Number: 5, FolderStamp: 1, Files: []railfile.File{newFile("1.ini", 3, clash)}}
		merged := a.Merge(b)
		c.Check(merged.Supersedes(a), qt.IsTrue)
		c.Check(merged.Supersedes(b), qt.IsTrue)
		c.Check(merged.Files[0].Content, qt.Equals, first)
	})
}

// Guards against weights that go back to an earlier version since the pin of the wanted one was lost.
func TestMergedRevisionKeepsPins(t *testing.T) {
	c := qt.New(t)
	file := newFile("1.ini", 1, "[origin main]\nregion = a\n[service chat]\nkind = engine\nversion = v2\n")
	unpinned := newView(c, 5, 1, file)
	unpinned.Pending = map[string]string{"chat": "v2"}
	pinned := newView(c, 5, 1, file).WithPin("chat", "v2", "digest")
	c.Check(unpinned.Supersedes(pinned), qt.IsFalse)
	c.Check(pinned.Supersedes(unpinned), qt.IsTrue)
	for _, merged := range []railrevision.Revision{pinned.Merge(unpinned), unpinned.Merge(pinned)} {
		c.Check(merged.Manifests["chat"], qt.Equals, "digest")
		c.Check(merged.Pending, qt.HasLen, 0)
		c.Check(merged.Supersedes(pinned), qt.IsTrue)
	}
}
