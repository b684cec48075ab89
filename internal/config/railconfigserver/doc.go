// Package railconfigserver serves the configuration, the wanted weights versions and the list of agents from an entry to agents.
package railconfigserver
