// Package railaddress checks the addresses at which processes and endpoints say that they can be called.
package railaddress
