package cranberryward

import "time"

// QuietWindow is a time in which nothing disruptive may be done in a zone, daily or on one date.
type QuietWindow struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Start    string `json:"start"`
	End      string `json:"end"`
	TimeZone string `json:"time_zone"`
}

// WorkspacePriority is the priority of a workspace from 0, the lowest, to 9.
type WorkspacePriority struct {
	Workspace string `json:"workspace"`
	Priority  int    `json:"priority"`
}

// ModelVersions names the model versions that a group may run.
type ModelVersions struct {
	Group    string   `json:"group"`
	Versions []string `json:"versions"`
}

// Sheet is the operators' morning sheet.
type Sheet struct {
	QuietWindows  []QuietWindow       `json:"quiet_windows"`
	Priorities    []WorkspacePriority `json:"priorities"`
	Leaving       []string            `json:"leaving"`
	ModelVersions []ModelVersions     `json:"model_versions"`
}

// CorrectionKind names what a correction changes.
type CorrectionKind string

// The corrections that operators and, for crash records, entries submit.
const (
	CorrectOpenWindow    CorrectionKind = "open_window"
	CorrectCloseWindow   CorrectionKind = "close_window"
	CorrectPriority      CorrectionKind = "priority"
	CorrectLeaving       CorrectionKind = "leaving"
	CorrectReturned      CorrectionKind = "returned"
	CorrectPinVersion    CorrectionKind = "pin_version"
	CorrectForbidVersion CorrectionKind = "forbid_version"
	CorrectCrash         CorrectionKind = "crash"
)

// Correction is a direct change that stays laid over the sheet until it is withdrawn or expires.
type Correction struct {
	ID      string         `json:"id"`
	Kind    CorrectionKind `json:"kind"`
	Name    string         `json:"name"`
	Zone    string         `json:"zone,omitempty"`
	Value   string         `json:"value,omitempty"`
	From    time.Time      `json:"from,omitzero"`
	Until   time.Time      `json:"until,omitzero"`
	Expires time.Time      `json:"expires,omitzero"`
}

// SubmissionKind names what a submission carries.
type SubmissionKind string

// The kinds of submissions.
const (
	SubmitSheet      SubmissionKind = "sheet"
	SubmitCorrection SubmissionKind = "correction"
	SubmitWithdrawal SubmissionKind = "withdrawal"
)

// Submission is what an operator asks to put in force, with an id made by the client.
type Submission struct {
	ID           string         `json:"id"`
	Kind         SubmissionKind `json:"kind"`
	Author       string         `json:"author,omitempty"`
	BaseRevision uint64         `json:"base_revision"`
	Sheet        *Sheet         `json:"sheet,omitempty"`
	SheetKey     string         `json:"sheet_key,omitempty"`
	Correction   *Correction    `json:"correction,omitempty"`
	Withdraw     string         `json:"withdraw,omitempty"`
	Supersedes   []string       `json:"supersedes,omitempty"`
}

// ConfigurationEntry is one accepted submission.
type ConfigurationEntry struct {
	Revision   uint64     `json:"revision"`
	AcceptedAt time.Time  `json:"accepted_at"`
	Submission Submission `json:"submission"`
}

// AcceptedID remembers which revision a submission id was accepted as.
type AcceptedID struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// Configuration is the state after all accepted submissions up to a revision.
type Configuration struct {
	Revision      uint64       `json:"revision"`
	SheetRevision uint64       `json:"sheet_revision"`
	Sheet         Sheet        `json:"sheet"`
	Corrections   []Correction `json:"corrections"`
	Accepted      []AcceptedID `json:"accepted"`
}

// AcceptedRevision returns the revision that a submission id was accepted as, or zero.
func (configuration Configuration) AcceptedRevision(id string) uint64 {
	for i := len(configuration.Accepted) - 1; i >= 0; i-- {
		if configuration.Accepted[i].ID == id {
			return configuration.Accepted[i].Revision
		}
	}
	return 0
}
