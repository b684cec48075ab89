package railfile

// File is one file of the folder at one moment.
type File struct {
	Name string `json:"name"`
	// Stamp grows with each change of the file, in nanoseconds of the folder's own clock.
	Stamp   int64  `json:"stamp"`
	Content string `json:"content"`
	// RejectReason is the fault for which a later content is not in force; Content is the last accepted one.
	RejectReason string `json:"held,omitempty"`
}

// WithRejection returns the file with its last accepted content held because of a fault in a later one.
func (f File) WithRejection(accepted, fault string) File {
	f.Content = accepted
	f.RejectReason = fault
	return f
}
