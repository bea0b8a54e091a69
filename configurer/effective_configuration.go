package configurer

import (
	"slices"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/timekeeper"
)

// DefaultPriority is the priority of a workspace that neither the sheet nor a correction sets.
const DefaultPriority = 5

// EffectiveConfiguration is the result of applying a configuration's corrections to its sheet.
type EffectiveConfiguration struct {
	revision   uint64
	calendar   timekeeper.Calendar
	priorities map[string]int
	leaving    map[string]bool
	versions   map[string][]string
	// forbidden holds the versions that corrections forbid, by group, which also apply to a group without a list of versions.
	forbidden map[string]map[string]bool
	crashes   map[string]int
}

// NewEffectiveConfiguration applies the corrections that have not expired at the given time.
func NewEffectiveConfiguration(configuration cranberryward.Configuration, now time.Time) *EffectiveConfiguration {
	effectiveConfiguration := &EffectiveConfiguration{
		revision:   configuration.Revision,
		priorities: map[string]int{},
		leaving:    map[string]bool{},
		versions:   map[string][]string{},
		forbidden:  map[string]map[string]bool{},
		crashes:    map[string]int{},
	}
	for _, row := range configuration.Sheet.Priorities {
		effectiveConfiguration.priorities[row.Workspace] = row.Priority
	}
	for _, id := range configuration.Sheet.Leaving {
		effectiveConfiguration.leaving[id] = true
	}
	for _, row := range configuration.Sheet.ModelVersions {
		effectiveConfiguration.versions[row.Group] = row.Versions
	}
	var windows []timekeeper.Window
	for _, row := range configuration.Sheet.QuietWindows {
		if window, err := timekeeper.NewWindow(row); err == nil {
			windows = append(windows, window)
		}
	}
	for _, correction := range configuration.Corrections {
		if !expired(correction, now) {
			windows = effectiveConfiguration.applyCorrection(windows, correction)
		}
	}
	effectiveConfiguration.calendar = timekeeper.NewCalendar(windows)
	return effectiveConfiguration
}

func (effectiveConfiguration *EffectiveConfiguration) applyCorrection(windows []timekeeper.Window, correction cranberryward.Correction) []timekeeper.Window {
	switch correction.Kind {
	case cranberryward.CorrectOpenWindow:
		zone := correction.Zone
		if zone == "" {
			zone = timekeeper.AnyZone
		}
		return append(windows, timekeeper.NewWindowBetween(correction.Name, zone, correction.From, correction.Until))
	case cranberryward.CorrectCloseWindow:
		return slices.DeleteFunc(windows, func(window timekeeper.Window) bool {
			return window.Name() == correction.Name && (correction.Zone == "" || window.Zone() == correction.Zone)
		})
	case cranberryward.CorrectPriority:
		effectiveConfiguration.priorities[correction.Name], _ = strconv.Atoi(correction.Value)
	case cranberryward.CorrectLeaving:
		effectiveConfiguration.leaving[correction.Name] = true
	case cranberryward.CorrectReturned:
		delete(effectiveConfiguration.leaving, correction.Name)
	case cranberryward.CorrectPinVersion:
		effectiveConfiguration.versions[correction.Name] = []string{correction.Value}
		delete(effectiveConfiguration.forbidden[correction.Name], correction.Value)
	case cranberryward.CorrectForbidVersion:
		effectiveConfiguration.forbidVersion(correction.Name, correction.Value)
	case cranberryward.CorrectCrash:
		effectiveConfiguration.crashes[correction.Name]++
	}
	return windows
}

func (effectiveConfiguration *EffectiveConfiguration) forbidVersion(group, version string) {
	if effectiveConfiguration.forbidden[group] == nil {
		effectiveConfiguration.forbidden[group] = map[string]bool{}
	}
	effectiveConfiguration.forbidden[group][version] = true
	if listed, restricted := effectiveConfiguration.versions[group]; restricted {
		effectiveConfiguration.versions[group] = slices.DeleteFunc(slices.Clone(listed), func(other string) bool { return other == version })
	}
}

// Revision returns the revision of the configuration that it was derived from.
func (effectiveConfiguration *EffectiveConfiguration) Revision() uint64 {
	return effectiveConfiguration.revision
}

// Calendar returns the quiet windows in force.
func (effectiveConfiguration *EffectiveConfiguration) Calendar() timekeeper.Calendar {
	return effectiveConfiguration.calendar
}

// Priority returns the priority of a workspace.
func (effectiveConfiguration *EffectiveConfiguration) Priority(workspace string) int {
	if priority, ok := effectiveConfiguration.priorities[workspace]; ok {
		return priority
	}
	return DefaultPriority
}

// Leaving returns whether the instance is marked as leaving.
func (effectiveConfiguration *EffectiveConfiguration) Leaving(instance string) bool {
	return effectiveConfiguration.leaving[instance]
}

// AllowedVersions returns which of the loaded model versions a group may run, in the order of preference, and false when nothing restricts them.
func (effectiveConfiguration *EffectiveConfiguration) AllowedVersions(group string, loaded []string) ([]string, bool) {
	listed, restricted := effectiveConfiguration.versions[group]
	forbidden := effectiveConfiguration.forbidden[group]
	if !restricted {
		listed = loaded
	}
	var allowed []string
	for _, version := range listed {
		if slices.Contains(loaded, version) && !forbidden[version] {
			allowed = append(allowed, version)
		}
	}
	return allowed, restricted || len(forbidden) > 0
}

// Versions returns the list of the model versions that a group may run, and false when there is none.
func (effectiveConfiguration *EffectiveConfiguration) Versions(group string) ([]string, bool) {
	versions, ok := effectiveConfiguration.versions[group]
	return versions, ok
}

// Crashes returns how many crashes are recorded against a request's fingerprint.
func (effectiveConfiguration *EffectiveConfiguration) Crashes(fingerprint string) int {
	return effectiveConfiguration.crashes[fingerprint]
}
