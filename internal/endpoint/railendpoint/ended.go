package railendpoint

// EndedError means that the endpoint's process ended while a request was running there.
type EndedError struct {
	// Incarnation identifies the start of the process that has ended, or is empty if it is unknown.
	Incarnation string
	// Cause is the error by which the request failed.
	Cause error
}

// Error returns a description of the error.
func (e *EndedError) Error() string {
	return "the endpoint has ended: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *EndedError) Unwrap() error {
	return e.Cause
}
