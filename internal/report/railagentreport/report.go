package railagentreport

// Report is the status of an agent, its endpoint and its weights, as reported by the agent.
type Report struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	Service     string `json:"service"`
	Revision    uint64 `json:"revision"`
	Serving     bool   `json:"serving"`
	Leaving     bool   `json:"leaving"`
	// Running is the number of requests in flight, and Limit the concurrency limit.
	Running int `json:"running"`
	Limit   int `json:"limit"`
	// Weights identifies the weights being served. Phase is the current phase of the rollout, and ChunksHeld of ChunksTotal chunks of
	// the wanted weights are stored locally.
	Weights     string `json:"weights,omitempty"`
	Phase       string `json:"phase,omitempty"`
	ChunksHeld  int    `json:"chunksHeld"`
	ChunksTotal int    `json:"chunksTotal"`
	// CorruptChunks is the number of chunks that were rejected because they did not match their digest.
	CorruptChunks int64 `json:"corruptRejected"`
}
