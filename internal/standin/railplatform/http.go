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
	controlPath       = "/knob/"
	weightsChunkBytes = 1 << 20
)

// Handle serves the platform over HTTP. PUT requests to paths below /knob/ inject faults and change the VM list and the weights.
func (p *Platform) Handle(ctx *fasthttp.RequestCtx) {
	control, ok := strings.CutPrefix(string(ctx.Path()), controlPath)
	server := &platform.StoreServer{Storage: p}
	switch {
	case ok && ctx.IsPut():
		if err := p.applyControl(control, ctx.PostBody()); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		}
	case !server.Handle(ctx):
		ctx.Error("unknown path", fasthttp.StatusNotFound)
	}
}

// applyControl applies the change with the given name. It returns an error for an unknown name or an invalid body.
func (p *Platform) applyControl(name string, body []byte) error {
	value := string(body)
	var err error
	switch version, isVersion := strings.CutPrefix(name, "version/"); {
	case isVersion:
		p.AddWeights(version, append([]byte(nil), body...), weightsChunkBytes)
	case name == "down":
		p.SetDown(value == "yes")
	case name == "storeDown":
		p.SetStoreDown(value == "yes")
	case name == "restore":
		var age time.Duration
		age, err = time.ParseDuration(value)
		if err == nil {
			p.Restore(age)
		}
	case name == "slow":
		var delay time.Duration
		delay, err = time.ParseDuration(value)
		p.SetDelay(delay)
	case name == "lossy":
		var probability float64
		probability, err = strconv.ParseFloat(value, 64)
		p.SetResponseLoss(probability)
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
