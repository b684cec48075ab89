// Package railexplaincmd is the command "explain".
package railexplaincmd
