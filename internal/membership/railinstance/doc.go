// Package railinstance describes an endpoint as published in the endpoint table.
package railinstance
