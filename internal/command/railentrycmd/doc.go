// Package railentrycmd implements the command "entry".
package railentrycmd
