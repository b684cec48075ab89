// Package railpicker selects the next chunk of a manifest for an agent to request and the peer to request it from, so that
// a slow peer or link delays no other. A request whose source is outside of the agent's region is called an import.
package railpicker
