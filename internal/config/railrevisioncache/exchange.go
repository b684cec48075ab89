package railrevisioncache

import (
	"time"

	"github.com/fulmarrail/fulmarrail/internal/config/railrevision"
	"github.com/fulmarrail/fulmarrail/internal/wire/railproto"
)

// Exchange adopts a peer's revision if it is newer, and returns the cached revision if that is newer than the peer's. It returns
// an error if the peer's revision is damaged.
func (c *Cache) Exchange(req *railproto.RevisionRequest) (*railproto.RevisionReply, error) {
	if req.GetNumber() > c.Number() {
		newer, err := railrevision.Unpack(req.GetContent())
		if err != nil {
			return nil, err
		}
		c.Adopt(newer)
	}
	c.Confirm(req.GetNumber(), time.Duration(req.GetConfirmedAgeMillis())*time.Millisecond)
	current, _ := c.Current()
	reply := &railproto.RevisionReply{Number: current.Number, ConfirmedAgeMillis: c.Age().Milliseconds()}
	if current.Number > req.GetNumber() {
		reply.Content = current.Pack()
	}
	return reply, nil
}
