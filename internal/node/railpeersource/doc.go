// Package railpeersource reads tables of the platform's store from other processes that still reach it.
package railpeersource
