package railplatform

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/membership/railmember"
	"github.com/fulmarrail/fulmarrail/platform"
)

const (
	knobPath     = "/knob/"
	weightsChunk = 1 << 20
)

// Handle serves the platform over HTTP, with its knobs below /knob/.
func (p *Platform) Handle(ctx *fasthttp.RequestCtx) {
	knob, ok := strings.CutPrefix(string(ctx.Path()), knobPath)
	server := &platform.StoreServer{Storage: p}
	switch {
	case ok && ctx.IsPut():
		if err := p.knob(knob, ctx.PostBody()); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		}
	case !server.Handle(ctx):
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}

// knob changes the stand-in as its name says.
func (p *Platform) knob(name string, body []byte) error {
	value := string(body)
	var err error
	switch version, isVersion := strings.CutPrefix(name, "version/"); {
	case isVersion:
		p.AddWeights(version, append([]byte(nil), body...), weightsChunk)
	case name == "down":
		p.SetDown(value == "yes")
	case name == "storeDown":
		p.SetStoreDown(value == "yes")
	case name == "slow":
		var d time.Duration
		d, err = time.ParseDuration(value)
		p.SetDelay(d)
	case name == "lossy":
		var share float64
		share, err = strconv.ParseFloat(value, 64)
		p.SetResponseLoss(share)
	case name == "member":
		var m railmember.Member
		if err = json.Unmarshal(body, &m); err == nil {
			p.SetMember(m)
		}
	case name == "remove":
		p.RemoveMember(value)
	default:
		err = errors.Newf("unknown knob %s", name)
	}
	return err
}
