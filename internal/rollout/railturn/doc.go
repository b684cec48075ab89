// Package railturn spreads the engines' changes of weights over the time that there is for them, so that the others serve.
package railturn
