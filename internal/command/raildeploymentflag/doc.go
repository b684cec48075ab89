// Package raildeploymentflag selects the deployment that an operator's command reads: the one of an entry's settings, or one whose endpoints
// have no agents.
package raildeploymentflag
