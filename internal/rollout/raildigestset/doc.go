// Package raildigestset holds which weights an agent knows to be intact.
package raildigestset
