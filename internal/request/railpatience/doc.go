// Package railpatience tells the first tries of callers from those of callers who were refused and come back.
package railpatience
