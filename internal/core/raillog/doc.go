// Package raillog provides loggers that prefix each message with the name of
// the component that logs it.
package raillog
