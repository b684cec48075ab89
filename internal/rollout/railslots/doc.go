// Package railslots limits how many endpoints of a group, such as a service in
// a zone, are out of service at the same time to load weights.
package railslots
