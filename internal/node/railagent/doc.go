// Package railagent implements the agent process that runs beside one endpoint. The agent alone admits the endpoint's requests, runs
// each one at most once and keeps the endpoint's weights up to date.
package railagent
