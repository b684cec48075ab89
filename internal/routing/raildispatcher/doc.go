// Package raildispatcher queues the requests of one service until an endpoint has capacity, by priority and fairly between customers.
package raildispatcher
