// Package railtrace reconstructs the history of one request from the logs of all processes, and the state that these processes knew
// when they handled it.
package railtrace
