package railgateway

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/endpoint/railexchange"
)

const (
	// maxResponseBytes is the maximum size of the body of a response that is not streamed.
	maxResponseBytes = 16 << 20
	// maxResponseMemory is the maximum memory for the larger parts of all bodies that are being read, in bytes.
	maxResponseMemory = 32 << 20
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization, "Proxy-Connection",
	fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderTransferEncoding, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
}

// removeHopByHopHeaders removes the headers that apply to the caller's connection only, including those named by Connection.
func removeHopByHopHeaders(h *fasthttp.RequestHeader) {
	for name := range strings.SplitSeq(string(h.Peek(fasthttp.HeaderConnection)), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// copyHeader copies the endpoint's status and end-to-end headers to the caller's response.
func (g *Gateway) copyHeader(ctx *fasthttp.RequestCtx, e *railexchange.Exchange) {
	ctx.SetStatusCode(e.Header.StatusCode())
	for key, value := range e.Header.All() {
		name := string(key)
		if !isHopByHopHeader(name) && !strings.EqualFold(name, fasthttp.HeaderContentLength) {
			ctx.Response.Header.AddBytesKV(key, value)
		}
	}
	g.Translator.RemoveInternal(&ctx.Response.Header)
}

func isHopByHopHeader(name string) bool {
	for _, hop := range hopByHopHeaders {
		if strings.EqualFold(name, hop) {
			return true
		}
	}
	return false
}

// promisesNotRun reports whether a response's status promises the caller that its request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}
