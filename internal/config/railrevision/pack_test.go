package railrevision_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/config/railfile"
	"github.com/fulmarrail/fulmarrail/internal/config/railfolder"
	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
)

func newRevision(c *qt.C) railrevision.Revision {
	folder := railfolder.Folder{Stamp: 1}.WithFile(railfile.File{Name: "10.ini", Stamp: 1, Content: "[customer castle]\nweight = 3\n"})
	r, changed, err := railrevision.Revision{}.Next(folder)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	return r
}

func TestUnpackReturnsPackedRevision(t *testing.T) {
	c := qt.New(t)
	r := newRevision(c)
	got, err := railrevision.Unpack(r.Pack())
	c.Assert(err, qt.IsNil)
	c.Check(string(got.Encode()), qt.Equals, string(r.Encode()))
	customer, ok := got.Spec().Customer("castle")
	c.Check(ok, qt.IsTrue)
	c.Check(customer.Weight, qt.Equals, 3)
}

func TestUnpackRejectsDamagedContent(t *testing.T) {
	c := qt.New(t)
	packed := newRevision(c).Pack()
	flipped := bytes.Clone(packed)
	flipped[len(packed)/2] ^= 1
	for name, content := range map[string][]byte{
		"empty": nil, "not packed": newRevision(c).Encode(), "cut off": packed[:len(packed)-1], "changed": flipped,
	} {
		_, err := railrevision.Unpack(content)
		c.Check(err, qt.IsNotNil, qt.Commentf(name))
	}
}

func FuzzUnpackPackRoundTrip(f *testing.F) {
	f.Add(newRevision(qt.New(f)).Pack())
	f.Add([]byte{0x1f, 0x8b, 8, 0})
	f.Fuzz(func(t *testing.T, content []byte) {
		r, err := railrevision.Unpack(content)
		if err != nil {
			return
		}
		repacked, err := railrevision.Unpack(r.Pack())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(repacked.Encode()), qt.Equals, string(r.Encode()))
	})
}
