// Package raillistener accepts RPC connections from the other processes of the
// deployment and refuses peers without the deployment's shared key.
package raillistener
