// Package railloadtrial runs a load against simulated model engines under the system's routing policy or a baseline policy, and
// measures goodput, latency and rejections. It calls the engines directly, without a network or agents.
package railloadtrial
