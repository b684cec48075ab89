// Package raildiffcmd implements the command "config diff".
package raildiffcmd
