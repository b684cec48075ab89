// Package railsample bounds how often lines of one kind are logged, and counts those left out.
package railsample
