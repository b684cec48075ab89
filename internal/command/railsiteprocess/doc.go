// Package railsiteprocess runs the processes of a deployment whose endpoints are called directly, without agents in the request
// path. It provides their settings, logger, store client and replicas of the store's tables.
package railsiteprocess
