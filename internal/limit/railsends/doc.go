// Package railsends records when requests were sent, and tells when a quota allows the next ones.
package railsends
