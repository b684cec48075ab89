package railgateway

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarrail/fulmarrail/internal/membership/railfleet"
	"github.com/fulmarrail/fulmarrail/internal/routing/raildeadline"
)

const (
	// maxTotalAttempts bounds the attempts for a request, or for one resume of its stream, including those that endpoints reject as not
	// run. After so many attempts, no further endpoint is sought while one is silent. A route's MaxAttempts bounds only the attempts that
	// may have run, over all resumes.
	maxTotalAttempts = 5
)

var (
	errRejected        = errors.New("the endpoint has refused the request as not run")
	errWrongResponse   = errors.New("the answer is not one to this request")
	errUnprovenRefusal = errors.New("the endpoint has refused the request without proof that it was not run")
	errWeightsExpired  = errors.New("the time for the endpoint's weights is over")
	errServerError     = errors.New("the endpoint failed")
	errKeyInvalid      = errors.New("the key is not valid any more")
	errBudgetExhausted = errors.New("no repeat is left")
	errTooManyAttempts = errors.New("the route allows no further endpoint")
	errReplaced        = errors.New("the endpoint is silent, and another one has gone on")
	errNotNeeded       = errors.New("the silent endpoint has gone on")

	errMisdirected    = errors.New("another endpoint or other weights are there")
	errUnknownService = errors.New("the route's service is unknown")
)

// forward sends a request to an endpoint and its response to the caller.
func (g *Gateway) forward(c *call) {
	g.budget(c.service).Deposit(g.RetryShare)
	a, err := g.dispatch(c.workCtx, c, "")
	if err != nil {
		verdict := c.tries.sumVerdict()
		g.finish(c)
		g.rejectUnanswered(c, verdict, err)
		return
	}
	streaming := false
	defer func() { a.closeUnless(streaming) }()
	c.sendDelay, c.firstDelay = a.sentAt.Sub(c.start), time.Since(c.start)
	if a.isStream {
		g.stream(c, a)
		streaming = true
		return
	}
	a.close(railfleet.Answered)
	g.contain(c, func() { g.logResponse(c, a) })
	g.finish(c)
	g.copyHeader(c.ctx, a.exchange)
	c.ctx.SetBody(a.body)
	g.recordEnd(c, endAnswered)
	countRequest(c, a.exchange.Header.StatusCode())
}

// dispatch makes attempts until one returns a response: the first event of a stream, or any other response in full. lastEventID
// is that of the stream to resume, or empty for a new request.
func (g *Gateway) dispatch(ctx context.Context, c *call, lastEventID string) (*attempt, error) {
	var lastErr error
	for range maxTotalAttempts {
		if !c.tries.allowAnother(ctx, c.route) {
			return nil, cmp.Or[error](lastErr, errTooManyAttempts)
		}
		a, err := g.admitWithinBudget(ctx, c)
		if quarantineTime(err) > 0 {
			return nil, err
		}
		if err != nil {
			return nil, errors.CombineErrors(lastErr, err)
		}
		a, err = g.runAttempt(ctx, c, a, lastEventID)
		if err == nil {
			return a, nil
		}
		lastErr = err
		if ctx.Err() != nil || isPanic(err) {
			return nil, err
		}
	}
	return nil, lastErr
}

// admitWithinBudget is admitAttempt, which takes a retry from the budget for each attempt but the first.
func (g *Gateway) admitWithinBudget(ctx context.Context, c *call) (*attempt, error) {
	if c.tries.count() == 0 {
		return g.admitAttempt(ctx, c, false)
	}
	budget := g.budget(c.service)
	if !budget.TryWithdraw() {
		return nil, errBudgetExhausted
	}
	admitted := false
	defer func() {
		if !admitted {
			budget.Return()
		}
	}()
	a, err := g.admitAttempt(ctx, c, true)
	admitted = err == nil
	return a, err
}

// admitAttempt waits until a request may run at an endpoint, and returns an attempt with its lease and its pass. It returns an error if the
// request's key is no longer valid, its service is unknown, its prompt has quarantined parts, or no lease is granted in time.
func (g *Gateway) admitAttempt(ctx context.Context, c *call, isRetry bool) (*attempt, error) {
	if !g.keyStillValid(c) {
		return nil, errKeyInvalid
	}
	catalog, _ := g.Catalog()
	backend, ok := catalog.Backend(c.service)
	if !ok {
		return nil, errUnknownService
	}
	rank := c.route.Rank
	if c.customer.Rank != nil {
		rank = *c.customer.Rank
	}
	requirements := railfleet.Requirements{
		Backend: backend, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens, MaxEventGap: c.route.MaxEventGap, Tried: c.tries.tried(), Refresh: g.refresh,
		Dropped:       func() error { return g.dropped(c) },
		RegionAllowed: func(region string) bool { return c.route.AllowsRegion(region) && c.customer.AllowsRegion(region) },
	}
	g.refresh(&requirements)
	class := raildeadline.FirstTry
	switch {
	case isRetry:
		class = raildeadline.Failover
	case c.likelyRetry && backend.IsEngine():
		class = raildeadline.ClientRetry
	}
	deadlines := raildeadline.Compute(class, c.route.TargetLatency, c.start, time.Now())
	requirements.StartWithin = deadlines.StartWithin
	return g.acquireLease(ctx, c, requirements, rank, deadlines.GrantBy)
}

// acquireLease waits until a request may run with the parts of its prompt and an endpoint has room for it.
func (g *Gateway) acquireLease(ctx context.Context, c *call, requirements railfleet.Requirements, rank int, grantBy time.Time) (*attempt, error) {
	for {
		a, err := g.tryAcquire(ctx, c, requirements, rank, grantBy)
		if a != nil || err != nil {
			return a, err
		}
	}
}

// tryAcquire is acquireLease. It returns nil if the pass is not given any more once an endpoint has room.
func (g *Gateway) tryAcquire(ctx context.Context, c *call, requirements railfleet.Requirements, rank int, grantBy time.Time) (*attempt, error) {
	pass, err := g.Quarantine.Enter(ctx, c.quarantineParts(), grantBy)
	if err != nil {
		return nil, err
	}
	var lease *railfleet.Lease
	kept := false
	defer func() {
		if kept {
			return
		}
		if lease != nil {
			defer lease.Done(railfleet.Answered)
		}
		pass.Release()
	}()
	requirements.IsolationKey = pass.IsolationKey()
	if lease, err = g.admitter(c.service).Acquire(ctx, requirements, rank, c.customer.Name, grantBy); err != nil {
		return nil, err
	}
	if g.drainState.ctx.Err() != nil {
		return nil, errStopping // Another request has just been canceled, which this one must not follow.
	}
	if !pass.Begin() {
		return nil, nil
	}
	kept = true
	return &attempt{lease: lease, pass: pass}, nil
}

// dropped returns the reason why the current configuration allows no further attempt for a request, or nil. Unlike keyStillValid, it takes no notice
// of the configuration's age, which ends no request that was accepted in time.
func (g *Gateway) dropped(c *call) error {
	catalog, known := g.Catalog()
	if !known {
		return nil
	}
	if _, ok := catalog.CustomerByKey(c.APIKey); c.keyRequired && !ok {
		return errKeyInvalid
	}
	if _, ok := catalog.Backend(c.service); !ok {
		return errUnknownService
	}
	return nil
}

// refresh sets the requirements that follow from the current configuration: the zones that are out of service, and the weights on which a
// response may start.
func (g *Gateway) refresh(requirements *railfleet.Requirements) {
	catalog, _ := g.Catalog()
	requirements.ZoneOut = catalog.ZoneOut
	engine := requirements.Backend.Engine
	if engine == nil {
		return
	}
	requirements.MinVersion = g.MinVersion(engine.Model)
	version, untilDue := g.NextMinVersion(engine.Model)
	requirements.DueVersion, requirements.DueAt = version, time.Now().Add(untilDue)
}
