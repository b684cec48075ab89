package railmanifest_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/rollout/railmanifest"
)

func FuzzDecode(f *testing.F) {
	f.Add(railmanifest.New("v1", []byte("some weights"), 5).Encode())
	f.Add([]byte(`{"size": -1, "chunkSize": 0}`))
	f.Add([]byte(`{"size": 9223372036854775807, "chunkSize": 1, "chunks": []}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, content []byte) {
		m, err := railmanifest.Decode(content, railmanifest.Sum(content))
		if err != nil {
			return
		}
		total := int64(0)
		for i := range m.Chunks {
			length := m.ChunkLength(i)
			qt.Assert(t, length > 0, qt.IsTrue)
			total += length
		}
		qt.Check(t, total, qt.Equals, m.Size)
	})
}

func TestWrongContentIsRejected(t *testing.T) {
	c := qt.New(t)
	a, b := railmanifest.New("v1", []byte("one"), 2), railmanifest.New("v1", []byte("two"), 2)
	_, err := railmanifest.Decode(a.Encode(), b.Digest())
	c.Check(err, qt.IsNotNil)
	c.Check(a.Verify(0, []byte("on")), qt.IsTrue)
	c.Check(a.Verify(0, []byte("no")), qt.IsFalse)
	c.Check(a.Verify(7, []byte("on")), qt.IsFalse)
}
