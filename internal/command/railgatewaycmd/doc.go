// Package railgatewaycmd implements the command "gateway", which runs an entry that calls endpoints directly, without agents.
package railgatewaycmd
