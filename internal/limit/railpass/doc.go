// Package railpass models how a model engine works through its requests in passes, to predict when a request's first token
// comes before it is sent.
package railpass
