// Package railsharing gives other agents the chunks that this one holds.
package railsharing
