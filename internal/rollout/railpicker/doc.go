// Package railpicker decides which chunk of a manifest an agent takes next, and from which holder, so that a slow holder
// or a slow link holds nobody else up.
package railpicker
