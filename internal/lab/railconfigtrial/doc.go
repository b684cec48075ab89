// Package railconfigtrial measures how long a change in the configuration folder takes to be applied by every process of a deployment
// over loopback.
package railconfigtrial
