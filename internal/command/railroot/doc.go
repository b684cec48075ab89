// Package railroot assembles the command line of fulmarrail.
package railroot
