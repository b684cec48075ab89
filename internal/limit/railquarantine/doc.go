// Package railquarantine finds the parts of requests under which engines end, such as parts of prompts, and keeps requests with them from
// further engines.
//
// An engine that ends proves nothing alone, since it has run many requests at that time. So each request that had not succeeded
// by then has its parts charged with the end; parts with successful responses of late are only charged if all of its parts have them. A successful response
// is one that is complete, or that its engine has gone on with for a while after the beginning; it clears all parts of its request.
//
// A part that stays charged is a suspect: requests with it run one at a time, as trials, each at an engine that follows from the part, so that
// entries that don't know of each other's trials end one engine and not several. Parts under whose trials engines end are quarantined. A quarantine
// ends with another trial, and lasts longer each time.
package railquarantine
