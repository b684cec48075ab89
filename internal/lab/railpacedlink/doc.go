// Package railpacedlink simulates a network link of limited bandwidth, of a machine or between regions, that concurrent transfers
// share. It counts the bytes transferred.
package railpacedlink
