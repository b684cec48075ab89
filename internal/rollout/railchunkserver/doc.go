// Package railchunkserver serves the chunks that an agent holds to other agents.
package railchunkserver
