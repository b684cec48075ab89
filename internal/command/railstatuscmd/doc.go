// Package railstatuscmd implements the command "status".
package railstatuscmd
