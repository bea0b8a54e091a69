package server

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestParseZonesQuery(t *testing.T) {
	for _, test := range []struct {
		name, revision, wait string
		expectedRevision     uint64
		expectedWait         time.Duration
		invalid              bool
	}{
		{name: "nothing"},
		{
			name:             "both",
			revision:         "7",
			wait:             "1h",
			expectedRevision: 7,
			expectedWait:     time.Hour,
		},
		{
			name:     "a bad revision",
			revision: "seven",
			invalid:  true,
		},
		{
			name:    "a bad wait",
			wait:    "long",
			invalid: true,
		},
		{
			name:    "a negative wait",
			wait:    "-1s",
			invalid: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			revision, wait, err := parseZonesQuery(test.revision, test.wait)
			if (err != nil) != test.invalid {
				t.Fatalf("error %v, expected one: %v", err, test.invalid)
			}
			if revision != test.expectedRevision || wait != test.expectedWait {
				t.Errorf("revision %d, wait %v", revision, wait)
			}
		})
	}
}

// TestForwardedHeaders guards against forwarding headers that a caller's Connection header names, which apply to that connection only.
func TestForwardedHeaders(t *testing.T) {
	header := http.Header{
		"Connection": {"close, X-Hop"},
		"X-Hop":      {"1"},
		"X-Kept":     {"2"},
		"Upgrade":    {"other"},
	}
	if difference := cmp.Diff(map[string][]string{"X-Kept": {"2"}}, forwardedHeaders(header)); difference != "" {
		t.Errorf("forwarded headers (-expected +found):\n%s", difference)
	}
}
