package railrollouttrial

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/core/railtimer"
	"github.com/fulmarrail/fulmarrail/internal/lab/railpacedlink"
	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// requestChunk simulates a chunk request between two machines. A transfer uses both machines' links and, if they are in different
// regions, the link between the regions.
func (t *Trial) requestChunk(ctx context.Context, to *machine, from railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	digest, wait := req.GetDigest(), time.Duration(req.GetWaitMillis())*time.Millisecond
	source := t.machines[from.Name]
	if source.dead.Load() {
		return nil, errMachineDead
	}
	if t.partitioned(source.member.Region, to.member.Region) {
		return nil, errPartitioned
	}
	if source.stalled.Load() {
		railtimer.Sleep(ctx, wait+t.takeoverDelay())
		return nil, errors.New("machine is stalled")
	}
	if req.GetProbe() {
		reply := source.store.Status(digest)
		if source.lying.Load() {
			reply.Held, reply.HeldMillis = true, t.LinkTime.Milliseconds()
		}
		return reply, nil
	}
	if !source.lying.Load() && !source.store.Wait(ctx, digest, wait) {
		return source.store.Status(digest), nil
	}
	data := t.chunkData[digest]
	links := []*railpacedlink.Link{&source.link, &to.link}
	if source.member.Region != to.member.Region {
		links = append(links, t.regionLink(source.member.Region, to.member.Region))
	}
	if err := source.uploads.Acquire(ctx, int(req.GetLevel())); err != nil {
		return nil, err
	}
	defer source.uploads.Release()
	if err := railpacedlink.Transfer(ctx, len(data), links...); err != nil {
		return nil, err
	}
	if source.lying.Load() {
		return &railproto.ChunkReply{Data: []byte("not the chunk"), Held: true}, nil
	}
	return &railproto.ChunkReply{Data: t.maybeCorrupt(data), Held: true}, nil
}

func (t *Trial) fetchFromOrigin(ctx context.Context, to *machine, digest string) ([]byte, error) {
	if t.originDown.Load() || t.partitioned(originRegion, to.member.Region) {
		return nil, errOriginStopped
	}
	data := t.chunkData[digest]
	links := []*railpacedlink.Link{&t.origin, &to.link}
	if to.member.Region != originRegion {
		links = append(links, t.regionLink(originRegion, to.member.Region))
	}
	if err := railpacedlink.Transfer(ctx, len(data), links...); err != nil {
		return nil, err
	}
	return t.maybeCorrupt(data), nil
}

func (t *Trial) regionLink(from, to string) *railpacedlink.Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	pair := [2]string{from, to}
	if t.regionLinks[pair] == nil {
		t.regionLinks[pair] = &railpacedlink.Link{BytesPerSecond: t.linkRate(t.BorderCopies)}
	}
	return t.regionLinks[pair]
}

func (t *Trial) maybeCorrupt(data []byte) []byte {
	t.mu.Lock()
	corrupted := t.CorruptShare > 0 && t.random.Float64() < t.CorruptShare
	t.mu.Unlock()
	if !corrupted {
		return data
	}
	corruptData := append([]byte(nil), data...)
	corruptData[len(corruptData)/2] ^= 1
	return corruptData
}
