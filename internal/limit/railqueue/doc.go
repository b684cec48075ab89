// Package railqueue implements a bounded priority queue with weighted fair queuing between customers.
package railqueue
