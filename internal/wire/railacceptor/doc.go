// Package railacceptor accepts connections although the process or its VM is short of descriptors or memory for a while.
package railacceptor
