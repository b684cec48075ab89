// Package railagentreport defines the status report of an agent.
package railagentreport
