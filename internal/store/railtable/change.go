package railtable

// Change is a change of one row.
type Change struct {
	Table, Key string
	// Value is the row's new value; nil removes the row.
	Value []byte
	// Version is the version that the row must have for the change to apply: 0 for a row that does not exist, or nil for any.
	Version *int64
}

// Put returns a change that writes a row unconditionally.
func Put(table, key string, value []byte) Change {
	return Change{Table: table, Key: key, Value: value}
}

// Remove returns a change that removes a row unconditionally.
func Remove(table, key string) Change {
	return Change{Table: table, Key: key}
}

// WithVersion returns the change with the condition that the row has the given version, 0 for a row that does not exist.
func (c Change) WithVersion(version int64) Change {
	c.Version = &version
	return c
}
