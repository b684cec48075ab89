// Package railcapacitytrial measures the resource use of entries and agents: idle, per request and per token. The capacity plan for
// two years ahead is computed from it.
package railcapacitytrial
