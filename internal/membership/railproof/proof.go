package railproof

// Proof tells which complete weights an engine holds that are known to have been loaded from intact pieces. It is about one start of the engine
// and the state after one of its orders; weights in an engine's memory don't change until a later order. It is immutable.
type Proof struct {
	// Address is the engine's IP address and port.
	Address string
	// StartMillis is the engine's start in Unix milliseconds, or 0 if the engine does not tell it.
	StartMillis int64
	// Sequence is the number of orders that the engine has accepted since its start.
	Sequence int64
	// Version is the version of the intact weights, or 0 if none are known.
	Version int64
}

// SameStart reports whether two proofs are about the same start of an engine, as far as is known.
func (p Proof) SameStart(startMillis int64) bool {
	return p.StartMillis == startMillis || p.StartMillis == 0 || startMillis == 0
}
