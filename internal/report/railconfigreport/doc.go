// Package railconfigreport shows operators the configuration that a deployment's gateways have in force.
package railconfigreport
