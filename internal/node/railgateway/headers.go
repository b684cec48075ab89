package railgateway

import (
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railexchange"
)

// maxAnswerBytes bounds an answer that is passed on whole.
const maxAnswerBytes = 16 << 20

// hopHeaders concern one connection only.
var hopHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization, "Proxy-Connection",
	fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderTransferEncoding, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
}

// dropHopHeaders removes the headers that concern the caller's connection only.
func dropHopHeaders(h *fasthttp.RequestHeader) {
	for name := range strings.SplitSeq(string(h.Peek(fasthttp.HeaderConnection)), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// copyHeader gives the caller the endpoint's status and headers.
func copyHeader(ctx *fasthttp.RequestCtx, e *railexchange.Exchange) {
	ctx.SetStatusCode(e.Header.StatusCode())
	for key, value := range e.Header.All() {
		name := string(key)
		if !isHopHeader(name) && !strings.EqualFold(name, fasthttp.HeaderContentLength) {
			ctx.Response.Header.AddBytesKV(key, value)
		}
	}
}

func isHopHeader(name string) bool {
	for _, hop := range hopHeaders {
		if strings.EqualFold(name, hop) {
			return true
		}
	}
	return false
}

// readAll reads a whole body, or returns an error for one that was cut off.
func readAll(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err == nil && len(data) > maxAnswerBytes {
		err = errors.Newf("the answer is over %d bytes", maxAnswerBytes)
	}
	return data, err
}
