// Package raillearner keeps an agent informed of the configuration by the entries, and by the platform's store when none of
// them answers.
package raillearner
