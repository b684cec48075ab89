// Package railfetcher downloads the chunks of a manifest for one agent. Each chunk is imported from the origin or its region
// by one agent of a region, its importer; the others request it from agents that hold it.
package railfetcher
