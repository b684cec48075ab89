// Package railgatewaycmd is the command that runs an entry which calls endpoints directly.
package railgatewaycmd
