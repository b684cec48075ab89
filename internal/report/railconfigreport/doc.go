// Package railconfigreport formats the configuration in force at a deployment's gateways for operators.
package railconfigreport
