// Package railsharing serves the chunks that an agent holds to other agents.
package railsharing
