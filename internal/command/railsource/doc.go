// Package railsource is the deployment that operators' commands ask: that of a settings file, or one whose endpoints have no agents.
package railsource
