package timekeeper

import "time"

// Calendar holds the quiet windows in force.
type Calendar struct {
	windows []Window
}

// NewCalendar returns a calendar of the windows.
func NewCalendar(windows []Window) Calendar {
	return Calendar{
		windows: windows,
	}
}

// Windows returns the windows of the calendar.
func (calendar Calendar) Windows() []Window { return calendar.windows }

// Overlapping returns a window of the zone that overlaps the interval from start to end, extended by the clock error at both ends.
func (calendar Calendar) Overlapping(zone string, start, end time.Time, clockError time.Duration) (Window, bool) {
	start, end = start.Add(-clockError), end.Add(clockError)
	for _, window := range calendar.windows {
		if !window.AppliesTo(zone) {
			continue
		}
		opens, _, ok := window.Next(start)
		if ok && !opens.After(end) {
			return window, true
		}
	}
	return Window{}, false
}

// NextWindow returns when the zone's open or next window opens and closes, or false if there is none.
func (calendar Calendar) NextWindow(zone string, now time.Time) (opens, closes time.Time, ok bool) {
	for _, window := range calendar.windows {
		if !window.AppliesTo(zone) {
			continue
		}
		start, end, found := window.Next(now)
		if found && (!ok || start.Before(opens)) {
			opens, closes, ok = start, end, true
		}
	}
	return opens, closes, ok
}
