package configurer

import (
	"slices"
	"time"

	"github.com/cranberryward/cranberryward"
)

const maxAcceptedIDs = 4096

// Apply returns the configuration after the entry, or unchanged if the entry's revision is not the next one, as for an entry that it already contains.
func Apply(configuration cranberryward.Configuration, entry cranberryward.ConfigurationEntry) cranberryward.Configuration {
	if entry.Revision != configuration.Revision+1 {
		return configuration
	}
	next := configuration
	next.Revision = entry.Revision
	next.Accepted = append(slices.Clone(configuration.Accepted), cranberryward.AcceptedID{
		ID:       entry.Submission.ID,
		Revision: entry.Revision,
	})
	if excess := len(next.Accepted) - maxAcceptedIDs; excess > 0 {
		next.Accepted = next.Accepted[excess:]
	}
	submission := entry.Submission
	removed := slices.Clone(submission.Supersedes)
	switch submission.Kind {
	case cranberryward.SubmitSheet:
		next.Sheet = *submission.Sheet
		next.SheetRevision = entry.Revision
	case cranberryward.SubmitWithdrawal:
		removed = append(removed, submission.Withdraw)
	}
	next.Corrections = slices.DeleteFunc(slices.Clone(configuration.Corrections), func(correction cranberryward.Correction) bool {
		return slices.Contains(removed, correction.ID) || expired(correction, entry.AcceptedAt)
	})
	if submission.Kind == cranberryward.SubmitCorrection {
		next.Corrections = append(next.Corrections, *submission.Correction)
	}
	return next
}

func expired(correction cranberryward.Correction, now time.Time) bool {
	return !correction.Expires.IsZero() && now.After(correction.Expires)
}

// CheckConflict returns a failure if the submission conflicts with the configuration.
func CheckConflict(configuration cranberryward.Configuration, submission cranberryward.Submission) error {
	conflict := func(message string) error {
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonConflict, message).WithResend(false)
	}
	switch submission.Kind {
	case cranberryward.SubmitSheet:
		if submission.BaseRevision < configuration.SheetRevision {
			return conflict("another sheet was accepted since the revision that this sheet is based on")
		}
		if submission.BaseRevision > configuration.Revision {
			return conflict("the sheet names a base revision that does not exist yet")
		}
	case cranberryward.SubmitWithdrawal:
		if !slices.ContainsFunc(configuration.Corrections, func(correction cranberryward.Correction) bool {
			return correction.ID == submission.Withdraw
		}) {
			return conflict("no correction " + submission.Withdraw + " is in force")
		}
	case cranberryward.SubmitCorrection:
		if submission.BaseRevision > configuration.Revision {
			return conflict("the correction names a base revision that does not exist yet")
		}
	}
	return nil
}
