// Package railstaleness derives, from a deployment's bounds, how often processes read the store and how old what they believe may be.
package railstaleness
