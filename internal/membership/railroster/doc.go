// Package railroster caches the platform's eventually consistent list of VMs.
package railroster
