// Package railconn wraps callers' connections to detect callers that disconnect before their response, to limit how long they may take
// for a request or stay idle, and to close idle connections on a planned stop.
package railconn
