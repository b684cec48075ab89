// Package railpatience distinguishes callers' first requests from retries of rejected requests by the time that they allow.
package railpatience
