// Package railbudget limits retries to a share of requests.
package railbudget
