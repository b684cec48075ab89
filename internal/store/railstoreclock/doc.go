// Package railstoreclock bounds the time on the platform store's clock at which a row was written, from the versions and times of the
// store's responses.
package railstoreclock
