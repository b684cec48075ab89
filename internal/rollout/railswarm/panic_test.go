package railswarm_test

import (
	"context"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/lab/railvirtualtime"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Guards against one chunk or one response that ends the process of its receiver.
func TestPanicInChunkRequestIsAFailedRequest(t *testing.T) {
	railvirtualtime.Test(t, func(t *testing.T) {
		c := newCluster(t)
		agents := c.addAgents(0, 3, linkRate, false)
		var fromOrigin, fromAgents atomic.Int64
		fetch := agents[0].swarm.FetchFromOrigin
		agents[0].swarm.FetchFromOrigin = func(ctx context.Context, digest string) ([]byte, error) {
			if fromOrigin.Add(1) == 2 {
				panic("at the origin's response")
			}
			return fetch(ctx, digest)
		}
		request := agents[1].swarm.RequestChunk
		agents[1].swarm.RequestChunk = func(ctx context.Context, m railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
			if fromAgents.Add(1) == 2 {
				panic("at an agent's response")
			}
			return request(ctx, m, req)
		}
		c.fetch(agents...) // It fails the test unless each agent gets all chunks.
		qt.Check(t, fromOrigin.Load() > 2, qt.IsTrue)
		qt.Check(t, fromAgents.Load() > 2, qt.IsTrue)
	})
}
