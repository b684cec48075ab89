// Package railshowcmd implements the command "config show".
package railshowcmd
