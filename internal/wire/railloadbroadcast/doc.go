// Package railloadbroadcast reports the number of requests that an entry has in flight to the other entries: increases at once, and
// decreases a little later.
package railloadbroadcast
