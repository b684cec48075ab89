// Package railloadgen sends requests at a steady rate and records the answers.
package railloadgen
