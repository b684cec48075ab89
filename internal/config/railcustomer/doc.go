// Package railcustomer defines the configuration of a customer.
package railcustomer
