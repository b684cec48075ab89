// Package railrows follows a table of the platform's store and knows how old its view is.
package railrows
