// Package railloadtrial sends a load to model engines that are called directly, by the system's policy and by baselines, and
// measures what callers get.
package railloadtrial
