package railaddress_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarrail/fulmarrail/internal/membership/railaddress"
)

func TestParseAcceptsOnlyAddressesThatCanBeCalled(t *testing.T) {
	for text, want := range map[string]string{
		"10.0.0.1:80":          "10.0.0.1:80",
		"10.0.0.1:0080":        "10.0.0.1:80",
		"127.0.0.1:65535":      "127.0.0.1:65535",
		"[2001:DB8::1]:80":     "[2001:db8::1]:80",
		"[::ffff:10.0.0.1]:80": "10.0.0.1:80",
		"":                     "",
		"10.0.0.1":             "",
		"10.0.0.1:":            "",
		"10.0.0.1:0":           "",
		"10.0.0.1:-1":          "",
		"10.0.0.1:65536":       "",
		"10.0.0.1:99999":       "",
		"10.0.0.1:1e3":         "",
		"10.0.0.256:80":        "",
		"0.0.0.0:80":           "",
		"[::]:80":              "",
		"224.0.0.1:80":         "",
		"[ff02::1]:80":         "",
		"255.255.255.255:80":   "",
		"[fe80::1%eth0]:80":    "",
		"host.example:80":      "",
	} {
		got, err := railaddress.Parse(text)
		qt.Check(t, got, qt.Equals, want, qt.Commentf("%q", text))
		qt.Check(t, err == nil, qt.Equals, want != "", qt.Commentf("%q: %v", text, err))
	}
}
