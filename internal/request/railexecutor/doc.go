// Package railexecutor runs admitted requests at an agent's endpoint, at most once each, and lets callers resume interrupted responses.
package railexecutor
