package railexit

import "github.com/cockroachdb/errors"

// Code is a process's exit code.
type Code int

const (
	// OK means that the command succeeded.
	OK Code = 0
	// Failed means that the command failed for a reason that has no other code.
	Failed Code = 1
	// Usage means that a flag, an argument or a setting is invalid.
	Usage Code = 2
	// CheckFailed means that the command ran and a check did not pass.
	CheckFailed Code = 3
	// Interrupted means that work was still running when the process stopped, and was aborted.
	Interrupted Code = 4
)

// codedError is an error with an exit code.
type codedError struct {
	error
	code Code
}

func (e codedError) Unwrap() error { return e.error }

// WithCode attaches an exit code to an error. It returns nil if err is nil.
func WithCode(err error, code Code) error {
	if err == nil {
		return nil
	}
	return codedError{error: err, code: code}
}

// CodeOf returns the exit code attached to an error: OK if err is nil, and Failed if no code is attached.
func CodeOf(err error) Code {
	var c codedError
	switch {
	case err == nil:
		return OK
	case errors.As(err, &c):
		return c.code
	default:
		return Failed
	}
}
