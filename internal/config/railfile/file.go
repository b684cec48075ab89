package railfile

// File is one file of the configuration directory as of one moment.
type File struct {
	Name string `json:"name"`
	// Stamp is the change time of the file in nanoseconds of the file system's clock; it increases with each change.
	Stamp   int64  `json:"stamp"`
	Content string `json:"content"`
	// RejectReason is the error for which the file's newer content was rejected; Content is then the last accepted content.
	RejectReason string `json:"held,omitempty"`
}

// WithRejection returns a copy of the file with its last accepted content and the error of the rejected content.
func (f File) WithRejection(lastAccepted, reason string) File {
	f.Content = lastAccepted
	f.RejectReason = reason
	return f
}
