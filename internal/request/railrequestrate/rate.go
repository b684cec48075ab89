package railrequestrate

import (
	"math"
	"strconv"
	"strings"
)

// Parse returns the least of the valid rates that the lines of a header name, in requests per second, and the malformed values. It returns false
// if no value is valid.
func Parse(lines [][]byte) (perSecond float64, ok bool, malformed []string) {
	for _, line := range lines {
		for value := range strings.SplitSeq(string(line), ",") {
			rate, valid := parseValue(strings.TrimSpace(value))
			switch {
			case !valid:
				malformed = append(malformed, value)
			case !ok || rate < perSecond:
				perSecond, ok = rate, true
			}
		}
	}
	return perSecond, ok, malformed
}

// parseValue parses a decimal number. It returns false for negative, infinite and hexadecimal numbers, and for any other text.
func parseValue(text string) (float64, bool) {
	if strings.Trim(text, "0123456789.eE+-") != "" {
		return 0, false
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.Signbit(rate) {
		return 0, false
	}
	return rate, true
}
