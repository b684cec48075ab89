// Package railagentcmd implements the command "agent".
package railagentcmd
