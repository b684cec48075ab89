package railchunkserver

import (
	"context"
	"time"

	"github.com/fulmarrail/fulmarrail/internal/rollout/railchunks"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railratelimit"
	"github.com/fulmarrail/fulmarrail/internal/rollout/railuploads"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// maxWait bounds the time that a request may wait for a chunk that is not held yet.
const maxWait = 15 * time.Second

// Server answers requests for chunks; its fields are set before its first use.
type Server struct {
	Store   *railchunks.Store
	Uploads *railuploads.Scheduler
	Pacer   *railratelimit.Pacer
}

// Chunk returns a chunk, or only its status when it is not held within the requested wait. A probe waits too, but always
// returns only the status. Errors come from waiting for an upload slot or for the upload rate, or from the store.
func (s *Server) Chunk(ctx context.Context, req *railproto.ChunkRequest) (*railproto.ChunkReply, error) {
	wait := min(time.Duration(req.GetWaitMillis())*time.Millisecond, maxWait)
	if req.GetProbe() {
		s.Store.Wait(ctx, req.GetDigest(), wait)
		return s.Store.Status(req.GetDigest()), nil
	}
	if !s.Store.Has(req.GetDigest()) && !s.Store.Wait(ctx, req.GetDigest(), wait) {
		return s.Store.Status(req.GetDigest()), nil
	}
	if err := s.Uploads.Acquire(ctx, int(req.GetLevel())); err != nil {
		return nil, err
	}
	defer s.Uploads.Release()
	data, err := s.Store.Get(ctx, req.GetDigest())
	if err != nil {
		return nil, err
	}
	if err := s.Pacer.Wait(ctx, len(data)); err != nil {
		return nil, err
	}
	return &railproto.ChunkReply{Data: data, Held: true}, nil
}
