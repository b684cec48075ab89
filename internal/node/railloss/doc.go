// Package railloss describes connections that ended so that their callers got no complete response to something that they had sent.
package railloss
