// Package raillimittrial runs gateways in front of simulated endpoints that name rate limits in their answers, under the system's admission
// or a baseline, and measures what reaches each endpoint against its limit. Gateways exchange datagrams without a network; these may
// be lost, and gateways may join, stop and freeze.
package raillimittrial
