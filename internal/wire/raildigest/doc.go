// Package raildigest tells the other entries in datagrams what this entry has in flight.
package raildigest
