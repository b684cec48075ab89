// Package railreplicaserver tells other processes what this one knows of the tables of the platform's store.
package railreplicaserver
