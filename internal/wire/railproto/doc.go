// Package railproto contains the generated messages and services of the protocol
// between fulmarrail's own processes. script/generate generates it from rail.proto.
package railproto
