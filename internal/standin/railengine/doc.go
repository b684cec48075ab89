// Package railengine simulates a model engine with continuous batching, warm-up after a cold start, crashes under overload,
// a prefix cache, and control requests that may ignore fencing tokens.
package railengine
