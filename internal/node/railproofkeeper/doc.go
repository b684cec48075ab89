// Package railproofkeeper finds out which weights are proven, for engines of which an entry knows no proof that counts: it has just started, has missed
// a statement, has stood still or has seen the engine fail.
package railproofkeeper
