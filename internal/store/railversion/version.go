package railversion

const (
	// numberBits is the number of bits of a version that hold the store's number.
	numberBits = 40
	numberMask = 1<<numberBits - 1
)

// New returns the version for a number that the store gave out in an era.
func New(era, number int64) int64 {
	return era<<numberBits | number&numberMask
}

// Era returns the era of a version.
func Era(version int64) int64 {
	return version >> numberBits
}

// Number returns the store's number of a version. It identifies a state within an era only.
func Number(version int64) int64 {
	return version & numberMask
}
