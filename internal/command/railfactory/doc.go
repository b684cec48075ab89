// Package railfactory provides the dependencies of commands: streams, logger, signal handling and clients.
package railfactory
