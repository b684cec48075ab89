// Package railconfigclient keeps the configuration of an agent up to date. It long-polls an entry and falls back to the platform's
// store if no entry answers.
package railconfigclient
