// Package railheader defines the contents of request and response headers independently of a platform. A platform implements
// Translator to convert its headers.
package railheader
