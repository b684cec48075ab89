// Package railsettings holds the settings of one process, read from its settings file and command-line flags.
package railsettings
