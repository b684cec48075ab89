package railinstance_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
)

// Guards against routing to instances that have ended. After a power loss of all VMs, each engine's previous row stayed listed
// for three seconds next to its new one, and two out of three requests went to the previous instance.
func TestLatestKeepsNewestInstancePerAddress(t *testing.T) {
	instance := func(id, service, address string, rowVersion int64) railinstance.Instance {
		return railinstance.Instance{ID: id, Service: service, Address: address, RowVersion: rowVersion}
	}
	withStart := func(i railinstance.Instance, millis int64) railinstance.Instance {
		i.StartMillis = millis
		return i
	}
	list := []railinstance.Instance{
		instance("former", "engines", "10.0.0.1:8000", 7),
		instance("now", "engines", "10.0.0.1:8000", 9),
		instance("reused", "engines", "10.0.0.2:8000", 4),
		instance("desk", "orders", "10.0.0.2:8000", 8),
		withStart(instance("begun first", "engines", "10.0.0.4:8000", 12), 100),
		withStart(instance("begun last", "engines", "10.0.0.4:8000", 11), 200),
		instance("alone", "engines", "10.0.0.3:8000", 1),
		instance("forged", "nobody's", "10.0.0.3:8000", 10),
	}
	var ids []string
	for _, i := range railinstance.Latest(list, func(service string) bool { return service != "nobody's" }) {
		ids = append(ids, i.ID)
	}
	qt.Check(t, ids, qt.DeepEquals, []string{"now", "desk", "begun last", "alone"})
}
