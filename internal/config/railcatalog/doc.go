// Package railcatalog holds snapshots of the configuration that applies to client requests: routes, backend services, customer
// keys, zones taken out of service, and the wanted versions of model weights.
package railcatalog
