// Package railexplaincmd implements the command "explain".
package railexplaincmd
