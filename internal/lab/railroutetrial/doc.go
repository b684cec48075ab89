// Package railroutetrial sends a burst of requests to engines of which half have just become cold, and compares the system's routing
// with simple baselines.
package railroutetrial
