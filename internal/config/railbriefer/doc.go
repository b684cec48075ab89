// Package railbriefer tells agents what an entry knows of the configuration, the weights wanted and the other agents.
package railbriefer
