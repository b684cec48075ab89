// Package railrelay lets an entry pass weights on to the agents of its region: its link is many times as wide as theirs, so that
// each of them gets a copy as fast as its own link and the origin's allow.
package railrelay
