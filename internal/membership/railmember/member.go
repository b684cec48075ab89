package railmember

const (
	// RoleEntry is the role of a process that takes callers' requests.
	RoleEntry = "entry"
	// RoleAgent is the role of a process beside an endpoint.
	RoleAgent = "agent"
)

// Member is one process on one VM.
type Member struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// Service is the service of an agent's endpoint.
	Service string `json:"service,omitempty"`
	// Link is the rate of an entry's link in bytes a second, or 0 where it is not known.
	Link int `json:"link,omitempty"`
	// Leaving says that the platform is about to take the VM away.
	Leaving bool `json:"leaving,omitempty"`
}

// IsEntry reports whether the member takes callers' requests.
func (m Member) IsEntry() bool {
	return m.Role == RoleEntry
}

// EntriesFirst orders members so that entries go before agents.
func EntriesFirst(a, b Member) int {
	return place(a) - place(b)
}

func place(m Member) int {
	if m.IsEntry() {
		return 0
	}
	return 1
}
