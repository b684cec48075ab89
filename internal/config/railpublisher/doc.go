// Package railpublisher advances the revision of the configuration that is in force: it follows the platform's row for the current
// revision and publishes changes of the configuration directory.
package railpublisher
