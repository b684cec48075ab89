package railsiteprocess

import (
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/store/railreplica"
)

// Guards against times that wrap around, so that a version that is wanted since long counts as new or the other way round.
func TestOddRecordsOfWantedVersionsAreLeftOut(t *testing.T) {
	for name, test := range map[string]struct {
		key, value string
		valid      bool
	}{
		"valid":                  {"m/2", `{"wantedAtMillis":1000}`, true},
		"before the store began": {"m/2", `{"wantedAtMillis":-1000}`, true},
		"earlier software":       {"m/2", "1000", true},
		"time that wraps around": {"m/2", `{"wantedAtMillis":9223372036854775807}`, false},
		"time far in the past":   {"m/2", strconv.FormatInt(math.MinInt64, 10), false},
		"time 1e400":             {"m/2", `{"wantedAtMillis":1e400}`, false},
		"time true":              {"m/2", `{"wantedAtMillis":true}`, false},
		"nested":                 {"m/2", strings.Repeat("[", 20_000), false},
		"empty":                  {"m/2", "", false},
		"no version":             {"m", `{"wantedAtMillis":1000}`, false},
		"version -1":             {"m/-1", `{"wantedAtMillis":1000}`, false},
		"version 1e400":          {"m/1e400", `{"wantedAtMillis":1000}`, false},
	} {
		t.Run(name, func(t *testing.T) {
			recorded, err := parseWantedVersion(railreplica.Row{Key: test.key, Value: []byte(test.value), Version: 1})
			qt.Check(t, err == nil, qt.Equals, test.valid, qt.Commentf("%v", err))
			qt.Check(t, test.valid && recorded.wantedAt.Abs() != time.Second, qt.IsFalse)
		})
	}
}

// Guards against rows of entries that no process can be called at.
func TestOddRowsOfEntriesAreLeftOut(t *testing.T) {
	for value, want := range map[string]string{
		`{"address":"10.0.0.1:80","zone":"z","link":1000}`: "10.0.0.1:80",
		`{"address":"10.0.0.1:80"}`:                        "10.0.0.1:80",
		`{"address":"10.0.0.1:0"}`:                         "",
		`{"address":"10.0.0.1:65536"}`:                     "",
		`{"address":"0.0.0.0:80"}`:                         "",
		`{"address":"10.0.0.1:80","link":-1}`:              "",
		`{"address":"10.0.0.1:80","link":1e400}`:           "",
		`{"address":"10.0.0.1:80","link":true}`:            "",
		`{}`:                                               "",
		strings.Repeat("[", 20_000):                        "",
		`{"address":"\xff","zone":""}`:                     "",
	} {
		entry, err := parseEntryRow([]byte(value))
		qt.Check(t, err == nil, qt.Equals, want != "", qt.Commentf("%.100s: %v", value, err))
		qt.Check(t, want != "" && entry.Address != want, qt.IsFalse)
	}
}
