package railversion

import "strconv"

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

// String returns a version for logs: the store's number, preceded by the era and a colon if the store has one.
func String(version int64) string {
	number := strconv.FormatInt(Number(version), 10)
	if Era(version) == 0 {
		return number
	}
	return strconv.FormatInt(Era(version), 10) + ":" + number
}
