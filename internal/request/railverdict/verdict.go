package railverdict

// Verdict states whether a request may have had an effect at an endpoint.
type Verdict uint8

const (
	// NotRun means that the request has not run and never will.
	NotRun Verdict = iota
	// MayHaveRun means that the request may have run, completely or partially.
	MayHaveRun
	// Ran means that the request has run and its outcome is known.
	Ran
)

const (
	nameNotRun     = "notRun"
	nameMayHaveRun = "mayHaveRun"
	nameRan        = "ran"
)

// String returns the verdict's name, as used in headers.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return nameNotRun
	case Ran:
		return nameRan
	default:
		return nameMayHaveRun
	}
}

// AfterSend returns the verdict once any part of the request may have been sent to an agent.
func (v Verdict) AfterSend() Verdict {
	return max(v, MayHaveRun)
}

// Retryable reports whether a request with this verdict may be retried.
func (v Verdict) Retryable(idempotent bool) bool {
	switch v {
	case NotRun:
		return true
	case MayHaveRun:
		return idempotent
	default:
		return false
	}
}
