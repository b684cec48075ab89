// Package railinstance holds one endpoint as the list of endpoints shows it.
package railinstance
