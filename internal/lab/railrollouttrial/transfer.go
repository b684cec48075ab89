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

// ask is a transfer between two machines over their links and the border between their regions.
func (t *Trial) ask(ctx context.Context, to *machine, from railmember.Member, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	digest, wait := req.GetDigest(), time.Duration(req.GetWaitMillis())*time.Millisecond
	source := t.machines[from.Name]
	if source.dead.Load() {
		return nil, errDead
	}
	if t.parted(source.member.Region, to.member.Region) {
		return nil, errCut
	}
	if source.stalled.Load() {
		railtimer.Sleep(ctx, wait+t.takeover())
		return nil, errors.New("the machine has stalled")
	}
	if req.GetProbe() {
		reply := source.store.Status(digest)
		if source.lying.Load() {
			reply.Held, reply.HeldMillis = true, t.Allowed.Milliseconds()
		}
		return reply, nil
	}
	if !source.lying.Load() && !source.store.Wait(ctx, digest, wait) {
		return source.store.Status(digest), nil
	}
	data := t.weights[digest]
	links := []*railpacedlink.Link{&source.link, &to.link}
	if source.member.Region != to.member.Region {
		links = append(links, t.border(source.member.Region, to.member.Region))
	}
	if err := source.uploads.Acquire(ctx, int(req.GetLevel())); err != nil {
		return nil, err
	}
	defer source.uploads.Release()
	if err := railpacedlink.Carry(ctx, len(data), links...); err != nil {
		return nil, err
	}
	if source.lying.Load() {
		return &railproto.ChunkReply{Data: []byte("not the chunk"), Held: true}, nil
	}
	return &railproto.ChunkReply{Data: t.spoil(data), Held: true}, nil
}

func (t *Trial) fromOrigin(ctx context.Context, to *machine, digest string) ([]byte, error) {
	if t.stopped.Load() || t.parted(originRegion, to.member.Region) {
		return nil, errStop
	}
	data := t.weights[digest]
	links := []*railpacedlink.Link{&t.origin, &to.link}
	if to.member.Region != originRegion {
		links = append(links, t.border(originRegion, to.member.Region))
	}
	if err := railpacedlink.Carry(ctx, len(data), links...); err != nil {
		return nil, err
	}
	return t.spoil(data), nil
}

func (t *Trial) border(from, to string) *railpacedlink.Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	pair := [2]string{from, to}
	if t.borders[pair] == nil {
		t.borders[pair] = &railpacedlink.Link{BytesPerSecond: t.rate(t.BorderCopies)}
	}
	return t.borders[pair]
}

func (t *Trial) spoil(data []byte) []byte {
	t.mu.Lock()
	spoiled := t.Corrupt > 0 && t.random.Float64() < t.Corrupt
	t.mu.Unlock()
	if !spoiled {
		return data
	}
	other := append([]byte(nil), data...)
	other[len(other)/2] ^= 1
	return other
}
