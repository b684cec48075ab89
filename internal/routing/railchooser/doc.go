// Package railchooser selects the endpoint for a request from load reports.
package railchooser
