// Package railrawserver starts servers for tests that write raw bytes, since a sound HTTP library can't write a broken response.
package railrawserver
