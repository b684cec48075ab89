package railconfigclient_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
)

// Guards against an agent that forgets all entries, since a store that was restored from an older copy lacks their rows.
func TestClientKeepsEntriesThatTheStoreLacks(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newTestCluster(t, "near", "far")
		time.Sleep(time.Second)
		c.update(func() {
			c.entriesLost = true
			for _, e := range c.entries {
				e.down = true
			}
		})
		time.Sleep(30 * time.Second) // The agent reads the store meanwhile.
		qt.Check(t, c.client.Entries(), qt.HasLen, 2)
		c.update(func() {
			for _, e := range c.entries {
				e.down = false
			}
		})
		c.setVersion(2)
		time.Sleep(10 * time.Second)
		reads := c.countStoreReads()
		c.setVersion(3)
		time.Sleep(10 * time.Second)
		qt.Check(t, c.wantedVersion(), qt.Equals, int64(3))
		qt.Check(t, c.countStoreReads(), qt.Equals, reads, qt.Commentf("the entries answer"))
	})
}
