// Package railordertrial measures the availability and latency of orders while the platform is up, slow or down.
package railordertrial
