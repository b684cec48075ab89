// Package railrelay lets an entry relay weights to the agents of its region. Its link is many times faster than theirs, so that each
// agent gets a copy as fast as its own link and the origin's allow.
package railrelay
