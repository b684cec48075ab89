// Package railbudget limits retries to a share of successful requests.
package railbudget
