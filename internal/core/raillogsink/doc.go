// Package raillogsink writes log lines without ever blocking the callers that log: if the reader of the output stalls, lines are
// dropped and counted.
package raillogsink
