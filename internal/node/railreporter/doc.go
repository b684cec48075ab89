// Package railreporter tells operators' commands what a process that takes no part in heartbeats knows of itself.
package railreporter
