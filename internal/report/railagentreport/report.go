package railagentreport

// Report is the status of an agent, its endpoint and its weights, as reported by the agent.
type Report struct {
	Name            string `json:"name"`
	Incarnation     string `json:"incarnation"`
	Zone            string `json:"zone"`
	Service         string `json:"service"`
	Revision        uint64 `json:"revision"`
	Serving         bool   `json:"serving"`
	Leaving         bool   `json:"leaving"`
	Running         int    `json:"running"`
	Limit           int    `json:"limit"`
	Weights         string `json:"weights,omitempty"`
	Phase           string `json:"phase,omitempty"`
	ChunksHeld      int    `json:"chunksHeld"`
	ChunksTotal     int    `json:"chunksTotal"`
	CorruptRejected int64  `json:"corruptRejected"`
}
