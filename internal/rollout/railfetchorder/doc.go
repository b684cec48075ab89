// Package railfetchorder decides which of two wanted versions of weights is fetched first when the newer one is requested before the
// older one is complete.
package railfetchorder
