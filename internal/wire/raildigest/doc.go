// Package raildigest tells the other entries what this entry has in flight, each change at once.
package raildigest
