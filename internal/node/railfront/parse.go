package railfront

import (
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/fulmarrail/fulmarrail/internal/config/railservice"
	"github.com/fulmarrail/fulmarrail/internal/request/railrequest"
)

const (
	maxKeyBytes         = 256
	defaultPriority     = 5
	affinityPrefixBytes = 256
)

// parse parses and validates a caller's request. On an error, the request was not run, and the returned status is that of the response.
func (f *Front) parse(ctx *fasthttp.RequestCtx) (railrequest.Request, railservice.Service, int, error) {
	var noService railservice.Service
	revision, ok := f.Revision()
	if !ok {
		return railrequest.Request{}, noService, fasthttp.StatusServiceUnavailable, errors.New("no configuration yet; try again")
	}
	if !ctx.IsPost() {
		return railrequest.Request{}, noService, fasthttp.StatusMethodNotAllowed, errors.New("use POST /{service}/...")
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), "/"), "/")
	service, ok := revision.Spec().Service(name)
	if !ok {
		return railrequest.Request{}, noService, fasthttp.StatusNotFound, errors.Newf("there is no service %q", name)
	}
	h := &ctx.Request.Header
	customer, ok := revision.Spec().Customer(string(h.Peek(headerCustomer)))
	if !ok {
		return railrequest.Request{}, noService, fasthttp.StatusForbidden, errors.Newf("header %s names no known customer", headerCustomer)
	}
	if len(ctx.PostBody()) > service.MaxBodyBytes {
		return railrequest.Request{}, noService, fasthttp.StatusRequestEntityTooLarge, errors.Newf("the body is over %d bytes", service.MaxBodyBytes)
	}
	now := time.Now()
	req := railrequest.Request{
		ID: uuid.NewString(), Service: service.Name, Customer: customer.Name, Weight: customer.Weight,
		Priority: min(defaultPriority, customer.MaxPriority), Deadline: now.Add(service.DefaultTimeout), Key: string(h.Peek(headerKey)),
		Idempotent: service.Idempotent, Path: "/" + rest, ContentType: string(h.ContentType()),
		Body: append([]byte(nil), ctx.PostBody()...), ReceivedAt: now,
	}
	session := string(h.Peek(headerSession))
	req.Affinity = affinity(req, session)
	if err := parseOptionalHeaders(&req, h, customer.MaxPriority, now); err != nil {
		return railrequest.Request{}, noService, fasthttp.StatusBadRequest, err
	}
	return req.WithSharedParts(session), service, 0, nil
}

// parseOptionalHeaders applies the caller's optional headers, and checks the texts that agents get.
func parseOptionalHeaders(req *railrequest.Request, h *fasthttp.RequestHeader, maxPriority int, now time.Time) error {
	if text := string(h.Peek(headerPriority)); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < 0 || priority > 9 {
			return errors.Newf("header %s must be a level from 0 to 9", headerPriority)
		}
		req.Priority = min(priority, maxPriority)
	}
	if text := string(h.Peek(headerDeadline)); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return errors.Newf("header %s must be a duration such as 500ms or 10s", headerDeadline)
		}
		if callerDeadline := now.Add(timeout); callerDeadline.Before(req.Deadline) {
			req.Deadline = callerDeadline
		}
	}
	for name, text := range map[string]string{"the path": req.Path, "header Content-Type": req.ContentType, "header " + headerKey: req.Key} {
		if !utf8.ValidString(text) {
			return errors.Newf("%s is not UTF-8", name)
		}
	}
	if len(req.Key) > maxKeyBytes {
		return errors.Newf("header %s is over %d bytes", headerKey, maxKeyBytes)
	}
	return nil
}

// affinity returns the key by which requests are routed to the same endpoint: the idempotency key, the session or the first bytes of
// the body. Requests that may run only once and have neither key nor session have none.
func affinity(req railrequest.Request, session string) string {
	switch {
	case req.Key != "":
		return "key/" + req.Customer + "/" + req.Key
	case session != "":
		return "session/" + req.Customer + "/" + session
	case !req.Idempotent:
		return ""
	}
	return "prefix/" + string(req.Body[:min(len(req.Body), affinityPrefixBytes)])
}
