// Package railratelimit limits the rate of weight transfers to less than the VM's link, and reduces it further while the
// endpoint is loaded with requests.
package railratelimit
