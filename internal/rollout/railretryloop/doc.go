// Package railretryloop repeats one step of the installation of weights until it is stopped.
package railretryloop
