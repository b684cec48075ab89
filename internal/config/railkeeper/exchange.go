package railkeeper

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Exchange adopts a peer's revision when it is ahead, or returns this process's own when that is, or an error for a
// damaged one.
func (k *Cache) Exchange(req *railproto.RevisionRequest) (*railproto.RevisionReply, error) {
	if req.GetNumber() > k.Number() {
		ahead, err := railrevision.Unpack(req.GetContent())
		if err != nil {
			return nil, err
		}
		k.Adopt(ahead)
	}
	k.Confirm(req.GetNumber(), time.Duration(req.GetConfirmedAgeMillis())*time.Millisecond)
	current, _ := k.Current()
	reply := &railproto.RevisionReply{Number: current.Number, ConfirmedAgeMillis: k.Age().Milliseconds()}
	if current.Number > req.GetNumber() {
		reply.Content = current.Pack()
	}
	return reply, nil
}
