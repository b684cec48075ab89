package railtable

// Change is a change of one row.
type Change struct {
	Table, Key string
	// Value is the row's new value; nil removes the row.
	Value []byte
	// Version is the version that the row must have, 0 for an absent one, or nil for any.
	Version *int64
}

// Put returns the change that writes a row whatever it held.
func Put(table, key string, value []byte) Change {
	return Change{Table: table, Key: key, Value: value}
}

// Remove returns the change that removes a row whatever it held.
func Remove(table, key string) Change {
	return Change{Table: table, Key: key}
}

// WithVersion returns the change for a row that must have a version, 0 for an absent one.
func (c Change) WithVersion(version int64) Change {
	c.Version = &version
	return c
}
