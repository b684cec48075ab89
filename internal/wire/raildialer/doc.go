// Package raildialer opens and pools authenticated RPC connections to the other processes of the deployment.
package raildialer
