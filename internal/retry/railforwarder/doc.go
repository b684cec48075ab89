// Package railforwarder forwards a request to an endpoint. It resumes interrupted responses, retries where that is safe and
// tracks whether the request may have run.
package railforwarder
