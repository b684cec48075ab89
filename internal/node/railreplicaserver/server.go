package railreplicaserver

import (
	"bytes"
	"compress/gzip"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// minCompressedBytes is the size from which a row's value is compressed.
const minCompressedBytes = 4 << 10

// Server serves replicas of the store's tables. Its exported fields must be set before its first use.
type Server struct {
	railproto.DRPCReplicaUnimplementedServer

	// Followers holds the replicas by table.
	Followers map[string]*railreplica.Follower
	// Now returns the time since boot, including time in suspend.
	Now func() time.Duration
}

// Changes returns the rows of a table that are newer than the caller's version, or all rows. It returns an error if this process does not
// replicate the table, or does not know its state now.
func (s *Server) Changes(_ context.Context, req *railproto.ReplicaRequest) (*railproto.ReplicaReply, error) {
	follower := s.Followers[req.GetTable()]
	if follower == nil {
		return nil, errors.Newf("table %q is not replicated here", req.GetTable())
	}
	page, whole, known := follower.ChangesSince(req.GetAfter())
	if !known {
		return nil, errors.Newf("the state of table %q is not known", req.GetTable())
	}
	reply := &railproto.ReplicaReply{Whole: whole, Version: page.Version, StoreMillis: page.Now.Milliseconds()}
	for _, row := range page.Rows {
		encoded, err := encodeRow(row)
		if err != nil {
			return nil, err
		}
		reply.Rows = append(reply.Rows, encoded)
	}
	age := s.Now() - page.CurrentAt // Compressing has taken time.
	reply.AgeMillis = (age + time.Millisecond - 1).Milliseconds()
	return reply, nil
}

func encodeRow(row railreplica.Row) (*railproto.ReplicaRow, error) {
	encoded := &railproto.ReplicaRow{Key: row.Key, Version: row.Version, Removed: row.Removed, Value: row.Value}
	if len(row.Value) < minCompressedBytes {
		return encoded, nil
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err := w.Write(row.Value)
	if err = errors.CombineErrors(err, w.Close()); err != nil {
		return nil, errors.Wrapf(err, "compress row %s", row.Key)
	}
	encoded.Value, encoded.Compressed = compressed.Bytes(), true
	return encoded, nil
}
