// Package railconn wraps callers' connections to detect callers that disconnect before their response, and to find idle connections.
package railconn
