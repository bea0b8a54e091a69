package forwarder

import (
	"time"

	"github.com/cranberryward/cranberryward/screener"
)

// Candidate is a backend server of a service, with the reason for which it may be sent nothing, or less than its share, and until when if that is known.
type Candidate struct {
	Server string
	Zone   string
	Reason screener.Reason
	Until  time.Time
}
