// Package railswarm brings the chunks of a manifest to one agent of many: the agents of a region tell each other what they
// hold and take chunks from whoever can give them soonest, and each chunk comes into a region once.
package railswarm
