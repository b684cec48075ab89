// Package raildatagram sends and receives what processes tell each other without an answer.
package raildatagram
