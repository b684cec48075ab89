// Package railversioncmd implements the command "version".
package railversioncmd
