// Package raildatagram sends and receives UDP datagrams between processes. They are not acknowledged and may be lost.
package raildatagram
