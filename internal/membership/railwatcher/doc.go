// Package railwatcher maintains an entry's view of the endpoints that it watches. It learns their state from heartbeats and from
// load reports piggybacked on replies.
package railwatcher
