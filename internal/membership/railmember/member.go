package railmember

const (
	// RoleEntry is the role of a process that accepts requests from callers.
	RoleEntry = "entry"
	// RoleAgent is the role of a process that runs on the same VM as an endpoint.
	RoleAgent = "agent"
)

// Member describes a process and the VM that it runs on.
type Member struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// Service is the service of an agent's endpoint.
	Service string `json:"service,omitempty"`
	// Link is the bandwidth of an entry's network link in bytes per second, or 0 if unknown.
	Link int `json:"link,omitempty"`
	// Leaving reports whether the platform is about to remove the VM.
	Leaving bool `json:"leaving,omitempty"`
}

// IsEntry reports whether the member accepts requests from callers.
func (m Member) IsEntry() bool {
	return m.Role == RoleEntry
}

// EntriesFirst is a comparison function that sorts entries before agents.
func EntriesFirst(a, b Member) int {
	return roleRank(a) - roleRank(b)
}

func roleRank(m Member) int {
	if m.IsEntry() {
		return 0
	}
	return 1
}
