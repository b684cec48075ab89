// Package railoutages tests rollouts in which the origin or a region is out of reach, or a machine comes late.
package railoutages
