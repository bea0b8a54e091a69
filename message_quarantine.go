package cranberryward

import (
	"context"
	"strings"
	"time"
)

// wholeRequestPrefix precedes the fingerprint in the ID of a part that stands for whole requests; callers' IDs do not contain slashes.
const wholeRequestPrefix = "request/"

// PromptPart identifies a part that prompts of a service share, by the ID under which callers name it, or what equal requests share.
type PromptPart struct {
	Service string `json:"service"`
	ID      string `json:"id"`
}

// WholeRequest returns the part that only requests with the same fingerprint share.
func WholeRequest(service, fingerprint string) PromptPart {
	return PromptPart{
		Service: service,
		ID:      wholeRequestPrefix + fingerprint,
	}
}

// IsWholeRequest returns whether the part stands for whole requests.
func (promptPart PromptPart) IsWholeRequest() bool {
	return strings.HasPrefix(promptPart.ID, wholeRequestPrefix)
}

// Fingerprint returns the fingerprint of the requests that the part stands for, or an empty text for a part of prompts.
func (promptPart PromptPart) Fingerprint() string {
	fingerprint, found := strings.CutPrefix(promptPart.ID, wholeRequestPrefix)
	if !found {
		return ""
	}
	return fingerprint
}

// PartCrash is a crash of a backend server while it held a request with a prompt part.
type PartCrash struct {
	Server string `json:"server"`
	AgeMS  int64  `json:"age_ms"`
	// Points is how strongly the crash speaks against the part.
	Points int `json:"points"`
	// HeldMS is how long the backend server had held the request, if it is known.
	HeldMS int64 `json:"held_ms,omitempty"`
}

// PartReport is what one process knows about a prompt part that may crash backend servers.
type PartReport struct {
	PromptPart
	Crashes []PartCrash `json:"crashes,omitempty"`
	// ServedAgeMS is how long ago a request with the part was last answered, or negative if none is known.
	ServedAgeMS int64 `json:"served_age_ms"`
	// Level is the number of quarantines in a row, or zero if the part is not quarantined, and RemainingMS is the rest of the current one.
	Level       int   `json:"level,omitempty"`
	RemainingMS int64 `json:"remaining_ms,omitempty"`
}

// Quarantine is the stored quarantine of a prompt part; level zero means that the part was found to be sound or, if Server is set, that it is suspect.
type Quarantine struct {
	PromptPart
	Level     int       `json:"level"`
	Until     time.Time `json:"until"`
	CrashedAt time.Time `json:"crashed_at"`
	// Server is the backend server that a suspect crashed.
	Server   string `json:"server,omitempty"`
	Revision uint64 `json:"-"`
	// Era is the era of the store in which the revision was given out.
	Era uint64 `json:"-"`
}

// Position returns the point in the store's history at which the quarantine was written, the zero value if it was not.
func (quarantine Quarantine) Position() Position {
	return Position{
		Era:      quarantine.Era,
		Revision: quarantine.Revision,
	}
}

// Suspicion returns whether the part is suspect without being quarantined.
func (quarantine Quarantine) Suspicion() bool {
	return quarantine.Level == 0 && quarantine.Server != ""
}

// QuarantineStore keeps quarantines beyond the life of a process.
type QuarantineStore interface {
	// SaveQuarantine writes a quarantine for the time to live if the stored one still has its revision, zero for none, and returns it with its new position.
	// It returns ErrQuarantineChanged if the stored one has another revision.
	SaveQuarantine(ctx context.Context, quarantine Quarantine, ttl time.Duration) (Quarantine, error)
}
