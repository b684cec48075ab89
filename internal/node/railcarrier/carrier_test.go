package railcarrier

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/membership/railinstance"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
)

// After a power loss, the list holds each engine's old instance as well as its new one. An agent that was listed twice requested chunks
// from itself.
func TestAgentsListsEachVMOnce(t *testing.T) {
	instance := func(id, host string, draining bool) railinstance.Instance {
		return railinstance.Instance{ID: id, Service: "engines", Address: host + ":8001", Draining: draining}
	}
	c := &Carrier{
		Self: railmember.Member{Name: "10.0.0.1", Service: "engines"}, AgentPort: "7700",
		Instances: func(time.Duration) []railinstance.Instance {
			return []railinstance.Instance{
				instance("old-1", "10.0.0.1", false), instance("new-1", "10.0.0.1", false), instance("old-2", "10.0.0.2", false),
				instance("new-2", "10.0.0.2", false), instance("leaving", "10.0.0.3", true),
				{ID: "odd", Service: "engines", Address: "nowhere"},
			}
		},
	}
	counts := map[string]int{}
	for _, m := range c.agents(0) {
		counts[m.Name]++
	}
	qt.Check(t, counts, qt.DeepEquals, map[string]int{"10.0.0.1": 1, "10.0.0.2": 1})
}
