package parser

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/timekeeper"
)

// MaxSheetBytes is the largest sheet that is accepted, in bytes.
const MaxSheetBytes = 1 << 20

const (
	columnKind     = "kind"
	columnName     = "name"
	columnZone     = "zone"
	columnStart    = "start"
	columnEnd      = "end"
	columnTimeZone = "time_zone"
	columnValue    = "value"
	columnNote     = "note"

	kindWindow   = "quiet_window"
	kindPriority = "workspace_priority"
	kindLeaving  = "leaving"
	kindVersions = "model_versions"

	maxNameBytes = 256
	maxPriority  = 9
)

var (
	columns = []string{columnKind, columnName, columnZone, columnStart, columnEnd, columnTimeZone, columnValue, columnNote}
	marks   = []byte{0xEF, 0xBB, 0xBF}
)

type sheetReader struct {
	sheet  cranberryward.Sheet
	faults Faults
	index  map[string]int
	seen   map[string]int
	row    int
	cells  []string
}

// ParseSheet returns the sheet within a CSV file, or every fault of the file.
func ParseSheet(data []byte) (cranberryward.Sheet, Faults) {
	reader := &sheetReader{
		seen: map[string]int{},
	}
	if len(data) > MaxSheetBytes {
		reader.add("file", strconv.Itoa(len(data))+" bytes", "at most "+strconv.Itoa(MaxSheetBytes)+" bytes")
		return cranberryward.Sheet{}, reader.faults
	}
	data = bytes.TrimPrefix(data, marks)
	if !utf8.Valid(data) {
		reader.add("file", "bytes that are not UTF-8", "a file saved as CSV UTF-8")
		return cranberryward.Sheet{}, reader.faults
	}
	reader.read(data)
	if len(reader.faults) > 0 {
		return cranberryward.Sheet{}, reader.faults
	}
	return reader.sheet, nil
}

func (sheetReader *sheetReader) add(column, found, expected string) {
	sheetReader.faults = append(sheetReader.faults, Fault{
		row:      sheetReader.row,
		column:   column,
		found:    found,
		expected: expected,
	})
}

func separatorOf(data []byte) rune {
	header, _, _ := bytes.Cut(data, []byte("\n"))
	if bytes.Count(header, []byte(";")) > bytes.Count(header, []byte(",")) {
		return ';'
	}
	return ','
}

func (sheetReader *sheetReader) read(data []byte) {
	lines := csv.NewReader(bytes.NewReader(data))
	lines.Comma = separatorOf(data)
	lines.FieldsPerRecord = -1
	for {
		cells, err := lines.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var broken *csv.ParseError
		if errors.As(err, &broken) {
			sheetReader.row = broken.Line
			sheetReader.add("column "+strconv.Itoa(broken.Column), broken.Err.Error(), "fields separated by commas or semicolons, quoted with \"")
			return
		}
		sheetReader.row, _ = lines.FieldPos(0)
		sheetReader.cells = cells
		if blank(cells) {
			continue
		}
		if sheetReader.index == nil {
			if !sheetReader.header() {
				return
			}
			continue
		}
		sheetReader.record()
	}
	if sheetReader.index == nil {
		sheetReader.add("file", "no rows", "a header row with the columns "+strings.Join(columns, ", "))
	}
}

func blank(cells []string) bool {
	for _, cell := range cells {
		if strings.TrimSpace(cell) != "" {
			return false
		}
	}
	return true
}

func (sheetReader *sheetReader) header() bool {
	sheetReader.index = map[string]int{}
	for i, cell := range sheetReader.cells {
		name := strings.ToLower(strings.TrimSpace(cell))
		if name == "" {
			continue
		}
		if !known(name) {
			sheetReader.add("header "+strconv.Itoa(i+1), cell, "one of "+strings.Join(columns, ", "))
			continue
		}
		if _, twice := sheetReader.index[name]; twice {
			sheetReader.add("header "+strconv.Itoa(i+1), cell, "each column once")
		}
		sheetReader.index[name] = i
	}
	for _, name := range []string{columnKind, columnName} {
		if _, ok := sheetReader.index[name]; !ok {
			sheetReader.add(name, "", "a header cell "+name)
		}
	}
	return len(sheetReader.faults) == 0
}

func known(name string) bool {
	for _, column := range columns {
		if column == name {
			return true
		}
	}
	return false
}

func (sheetReader *sheetReader) cell(column string) string {
	i, ok := sheetReader.index[column]
	if !ok || i >= len(sheetReader.cells) {
		return ""
	}
	return strings.TrimSpace(sheetReader.cells[i])
}

func (sheetReader *sheetReader) record() {
	width := 0
	for _, i := range sheetReader.index {
		width = max(width, i+1)
	}
	for i := width; i < len(sheetReader.cells); i++ {
		if cell := strings.TrimSpace(sheetReader.cells[i]); cell != "" {
			sheetReader.add("column "+strconv.Itoa(i+1), cell, "nothing beyond the header's columns")
		}
	}
	kind, name := sheetReader.cell(columnKind), sheetReader.cell(columnName)
	if name == "" || len(name) > maxNameBytes {
		sheetReader.add(columnName, name, "a name of 1 to "+strconv.Itoa(maxNameBytes)+" bytes")
	}
	if first, twice := sheetReader.seen[kind+"\x00"+name+"\x00"+sheetReader.cell(columnZone)]; twice {
		sheetReader.add(columnName, name, "one row for each "+kind+", the first is row "+strconv.Itoa(first))
	}
	sheetReader.seen[kind+"\x00"+name+"\x00"+sheetReader.cell(columnZone)] = sheetReader.row
	switch kind {
	case kindWindow:
		sheetReader.window(name)
	case kindPriority:
		sheetReader.priority(name)
	case kindLeaving:
		sheetReader.unused(columnStart, columnEnd, columnTimeZone, columnValue)
		sheetReader.sheet.Leaving = append(sheetReader.sheet.Leaving, name)
	case kindVersions:
		sheetReader.versions(name)
	default:
		sheetReader.add(columnKind, kind, strings.Join([]string{kindWindow, kindPriority, kindLeaving, kindVersions}, ", "))
	}
}

func (sheetReader *sheetReader) unused(names ...string) {
	for _, name := range names {
		if cell := sheetReader.cell(name); cell != "" {
			sheetReader.add(name, cell, "an empty cell for this kind")
		}
	}
}

func (sheetReader *sheetReader) window(name string) {
	row := cranberryward.QuietWindow{
		Name:     name,
		Zone:     sheetReader.cell(columnZone),
		Start:    sheetReader.cell(columnStart),
		End:      sheetReader.cell(columnEnd),
		TimeZone: sheetReader.cell(columnTimeZone),
	}
	if row.Zone == "" {
		row.Zone = timekeeper.AnyZone
	}
	sheetReader.unused(columnValue)
	if _, err := timekeeper.NewWindow(row); err != nil {
		column, expected := columnStart, "HH:MM or YYYY-MM-DD HH:MM in start and end ("+err.Error()+")"
		found := row.Start + " to " + row.End
		if strings.Contains(err.Error(), "IANA") {
			column, found, expected = columnTimeZone, row.TimeZone, "an IANA time zone such as America/Guayaquil"
		}
		sheetReader.add(column, found, expected)
		return
	}
	sheetReader.sheet.QuietWindows = append(sheetReader.sheet.QuietWindows, row)
}

func (sheetReader *sheetReader) priority(name string) {
	sheetReader.unused(columnStart, columnEnd, columnTimeZone, columnZone)
	value, err := strconv.Atoi(sheetReader.cell(columnValue))
	if err != nil || value < 0 || value > maxPriority {
		sheetReader.add(columnValue, sheetReader.cell(columnValue), "a priority from 0 to "+strconv.Itoa(maxPriority))
		return
	}
	sheetReader.sheet.Priorities = append(sheetReader.sheet.Priorities, cranberryward.WorkspacePriority{
		Workspace: name,
		Priority:  value,
	})
}

func (sheetReader *sheetReader) versions(name string) {
	sheetReader.unused(columnStart, columnEnd, columnTimeZone, columnZone)
	versions := strings.Fields(strings.ReplaceAll(sheetReader.cell(columnValue), "|", " "))
	if len(versions) == 0 {
		sheetReader.add(columnValue, sheetReader.cell(columnValue), "model versions separated by spaces or |")
		return
	}
	sheetReader.sheet.ModelVersions = append(sheetReader.sheet.ModelVersions, cranberryward.ModelVersions{
		Group:    name,
		Versions: versions,
	})
}
