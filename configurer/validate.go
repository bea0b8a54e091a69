package configurer

import (
	"strconv"
	"strings"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/timekeeper"
)

const (
	maxIDBytes  = 128
	maxPriority = 9
)

// Validate returns a failure that names every invalid field of the submission.
func Validate(submission cranberryward.Submission) error {
	var invalidFields []string
	add := func(field, found, expected string) {
		invalidFields = append(invalidFields, "field "+field+": expected "+expected+", found "+strconv.Quote(found))
	}
	if submission.ID == "" || len(submission.ID) > maxIDBytes {
		add("id", submission.ID, "1 to "+strconv.Itoa(maxIDBytes)+" bytes")
	}
	switch submission.Kind {
	case cranberryward.SubmitSheet:
		if submission.Sheet == nil {
			add("sheet", "", "a sheet")
			break
		}
		for i, row := range submission.Sheet.QuietWindows {
			if _, err := timekeeper.NewWindow(row); err != nil {
				add("sheet.quiet_windows["+strconv.Itoa(i)+"]", row.Name, "a quiet window ("+err.Error()+")")
			}
		}
	case cranberryward.SubmitCorrection:
		if submission.Correction == nil {
			add("correction", "", "a correction")
			break
		}
		validateCorrection(*submission.Correction, add)
	case cranberryward.SubmitWithdrawal:
		if submission.Withdraw == "" {
			add("withdraw", "", "the id of a correction")
		}
	default:
		add("kind", string(submission.Kind), "sheet, correction or withdrawal")
	}
	if len(invalidFields) > 0 {
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, strings.Join(invalidFields, "; ")).WithResend(false)
	}
	return nil
}

func validateCorrection(correction cranberryward.Correction, add func(field, found, expected string)) {
	if correction.ID == "" {
		add("correction.id", "", "an id")
	}
	if correction.Name == "" {
		add("correction.name", "", "a name")
	}
	switch correction.Kind {
	case cranberryward.CorrectOpenWindow:
		if !correction.From.Before(correction.Until) {
			add("correction.until", correction.Until.String(), "a time after from")
		}
	case cranberryward.CorrectPriority:
		if value, err := strconv.Atoi(correction.Value); err != nil || value < 0 || value > maxPriority {
			add("correction.value", correction.Value, "a priority from 0 to "+strconv.Itoa(maxPriority))
		}
	case cranberryward.CorrectPinVersion, cranberryward.CorrectForbidVersion:
		if correction.Value == "" {
			add("correction.value", "", "a model version")
		}
	case cranberryward.CorrectCloseWindow, cranberryward.CorrectLeaving, cranberryward.CorrectReturned, cranberryward.CorrectCrash:
	default:
		add("correction.kind", string(correction.Kind), "open_window, close_window, priority, leaving, returned, pin_version or forbid_version")
	}
}
