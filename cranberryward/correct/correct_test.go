package correct

import (
	"testing"
	"time"

	"github.com/cranberryward/cranberryward"
)

func TestWindowExpiry(t *testing.T) {
	now := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	const until = "2026-12-05T06:00:00Z"
	for _, test := range []struct {
		name     string
		expires  time.Duration
		expected time.Duration
	}{
		{
			name:     "no --expires",
			expected: 6 * time.Hour,
		},
		{
			name:     "--expires before --until",
			expires:  time.Hour,
			expected: time.Hour,
		},
		{
			name:     "--expires after --until",
			expires:  24 * time.Hour,
			expected: 6 * time.Hour,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			options := newOptions(nil, cranberryward.CorrectOpenWindow)
			options.until, options.expires = until, test.expires
			correction, err := options.correction(now)
			if err != nil {
				t.Fatal(err)
			}
			if expires := correction.Expires.Sub(now); expires != test.expected {
				t.Errorf("expires after %v, expected %v", expires, test.expected)
			}
		})
	}
}
