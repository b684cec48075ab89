// Package raillife tells the life of one request from the logs of all processes, with what they believed when they decided.
package raillife
