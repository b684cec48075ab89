// Package raildemocmd implements the command "demo".
package raildemocmd
