package railretryafter

import (
	"strconv"
	"strings"
	"time"
)

// maxDelay is the longest credible delay. A longer one would exclude an endpoint by mistake.
const maxDelay = time.Hour

// Parse parses a number of seconds up to one hour in decimal digits, which may have a fraction. It returns false for any other text.
func Parse(text string) (time.Duration, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds > maxDelay.Seconds() {
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}
