// Package railprocess provides what the commands "entry" and "agent" share: settings from a file and flags, listeners, logger and
// metrics.
package railprocess
