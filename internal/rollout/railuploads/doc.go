// Package railuploads limits an agent's concurrent uploads of chunks. Uploads to receivers that pass a chunk on to the most
// other agents go first.
package railuploads
