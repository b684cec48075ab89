// Package railsiteprocess runs the processes of a deployment whose endpoints are called directly, and gives them what they
// share: settings, logs, the store's client, and copies of its tables.
package railsiteprocess
