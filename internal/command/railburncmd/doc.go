// Package railburncmd implements the command "burn".
package railburncmd
