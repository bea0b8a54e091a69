package timekeeper

import (
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/rotisserie/eris"
)

const (
	// ClockLayout is the layout of a daily start or end.
	ClockLayout = "15:04"
	// DateLayout is the layout of a start or end on one date.
	DateLayout = "2006-01-02 15:04"
	// AnyZone stands for every availability zone.
	AnyZone = "*"
)

// Window is a validated quiet window.
type Window struct {
	name     string
	zone     string
	daily    bool
	start    time.Time
	end      time.Time
	location *time.Location
}

// NewWindow returns the window described by a row of the sheet.
func NewWindow(row cranberryward.QuietWindow) (Window, error) {
	location, err := time.LoadLocation(row.TimeZone)
	if err != nil || row.TimeZone == "" {
		return Window{}, eris.Errorf("time zone %q is not an IANA name", row.TimeZone)
	}
	window := Window{
		name:     row.Name,
		zone:     row.Zone,
		location: location,
	}
	start, startErr := time.ParseInLocation(ClockLayout, row.Start, time.UTC)
	end, endErr := time.ParseInLocation(ClockLayout, row.End, time.UTC)
	if startErr == nil && endErr == nil {
		if start.Equal(end) {
			return Window{}, eris.Errorf("start and end are both %s", row.Start)
		}
		window.daily = true
		window.start = start
		window.end = end
		return window, nil
	}
	start, startErr = time.ParseInLocation(DateLayout, row.Start, time.UTC)
	end, endErr = time.ParseInLocation(DateLayout, row.End, time.UTC)
	if startErr != nil || endErr != nil {
		return Window{}, eris.Errorf("start %q and end %q are not both HH:MM or both YYYY-MM-DD HH:MM", row.Start, row.End)
	}
	window.start = earliestInstant(start, location)
	window.end = latestInstant(end, location)
	if !window.start.Before(window.end) {
		return Window{}, eris.Errorf("end %q is not after start %q", row.End, row.Start)
	}
	return window, nil
}

// NewWindowBetween returns a window between two instants.
func NewWindowBetween(name, zone string, from, until time.Time) Window {
	return Window{
		name:     name,
		zone:     zone,
		start:    from,
		end:      until,
		location: time.UTC,
	}
}

// Name returns the window's name.
func (window Window) Name() string { return window.name }

// Zone returns the availability zone, or AnyZone.
func (window Window) Zone() string { return window.zone }

// AppliesTo returns whether the window applies to the availability zone.
func (window Window) AppliesTo(zone string) bool {
	return window.zone == AnyZone || window.zone == "" || window.zone == zone
}

// Next returns the first occurrence that ends after the instant, or false if there is none.
func (window Window) Next(now time.Time) (start, end time.Time, ok bool) {
	if !window.daily {
		return window.start, window.end, now.Before(window.end)
	}
	today := now.In(window.location)
	for offset := -2; offset <= 2; offset++ {
		start, end := window.occurrence(today, offset)
		if now.Before(end) {
			return start, end, true
		}
	}
	return time.Time{}, time.Time{}, false
}

func (window Window) occurrence(today time.Time, offset int) (start, end time.Time) {
	year, month, day := today.Date()
	endDay := day
	if !window.start.Before(window.end) {
		endDay++
	}
	start = earliestInstant(time.Date(year, month, day+offset, window.start.Hour(), window.start.Minute(), 0, 0, time.UTC), window.location)
	end = latestInstant(time.Date(year, month, endDay+offset, window.end.Hour(), window.end.Minute(), 0, 0, time.UTC), window.location)
	return start, end
}

// earliestInstant returns the first instant at which clocks in the location show the wall time; if they skip it, the earlier of the two
// instants that the UTC offsets before and after the change give.
func earliestInstant(wall time.Time, location *time.Location) time.Time {
	first, _ := possibleInstants(wall, location)
	return first
}

func latestInstant(wall time.Time, location *time.Location) time.Time {
	_, last := possibleInstants(wall, location)
	return last
}

const maxClockChange = 2 * time.Hour

// possibleInstants returns the first and last instants for a wall time that is given in UTC. It reads the location's UTC offset far enough
// before and after to lie beyond the largest UTC offset, 14 hours, and the largest clock change.
func possibleInstants(wall time.Time, location *time.Location) (first, last time.Time) {
	_, before := wall.Add(-maxClockChange - 14*time.Hour).In(location).Zone()
	_, after := wall.Add(maxClockChange + 14*time.Hour).In(location).Zone()
	a := wall.Add(-time.Duration(before) * time.Second)
	b := wall.Add(-time.Duration(after) * time.Second)
	if a.After(b) {
		a, b = b, a
	}
	shows := func(instant time.Time) bool {
		local := instant.In(location)
		return local.Hour() == wall.Hour() && local.Minute() == wall.Minute() && local.Day() == wall.Day()
	}
	switch {
	case shows(a) && !shows(b):
		return a, a
	case shows(b) && !shows(a):
		return b, b
	}
	return a, b
}
