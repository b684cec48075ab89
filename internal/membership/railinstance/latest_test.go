package railinstance_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
)

// After a loss of power of all VMs two requests in three went to starts that had ended: each engine's former entry stayed listed
// for three seconds beside its new one.
func TestTheLatestEntryOfAnAddressCounts(t *testing.T) {
	entry := func(id, service, address string, revision int64) railinstance.Instance {
		return railinstance.Instance{ID: id, Service: service, Address: address, RowVersion: revision}
	}
	born := func(i railinstance.Instance, at int64) railinstance.Instance {
		i.StartMillis = at
		return i
	}
	list := []railinstance.Instance{
		entry("former", "engines", "10.0.0.1:8000", 7),
		entry("now", "engines", "10.0.0.1:8000", 9),
		entry("reused", "engines", "10.0.0.2:8000", 4),
		entry("desk", "orders", "10.0.0.2:8000", 8),
		born(entry("begun first", "engines", "10.0.0.4:8000", 12), 100),
		born(entry("begun last", "engines", "10.0.0.4:8000", 11), 200),
		entry("alone", "engines", "10.0.0.3:8000", 1),
		entry("forged", "nobody's", "10.0.0.3:8000", 10),
	}
	var ids []string
	for _, i := range railinstance.Latest(list, func(service string) bool { return service != "nobody's" }) {
		ids = append(ids, i.ID)
	}
	qt.Check(t, ids, qt.DeepEquals, []string{"now", "desk", "begun last", "alone"})
}
