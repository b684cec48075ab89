// Package railenginelatency predicts latencies of a model engine that batches its requests in passes, so that the time to a request's
// first token is known before the request is sent.
package railenginelatency
