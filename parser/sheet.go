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

// MaxSheetBytes is the maximum size of a sheet.
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
	columns       = []string{columnKind, columnName, columnZone, columnStart, columnEnd, columnTimeZone, columnValue, columnNote}
	byteOrderMark = []byte{0xEF, 0xBB, 0xBF}
)

type sheetReader struct {
	sheet            cranberryward.Sheet
	validationErrors ValidationErrors
	columnIndex      map[string]int
	rowByKey         map[string]int
	row              int
	cells            []string
}

// ParseSheet returns the sheet in a CSV file, or all validation errors of the file.
func ParseSheet(data []byte) (cranberryward.Sheet, ValidationErrors) {
	sheetReader := &sheetReader{
		rowByKey: map[string]int{},
	}
	if len(data) > MaxSheetBytes {
		sheetReader.addError("file", strconv.Itoa(len(data))+" bytes", "at most "+strconv.Itoa(MaxSheetBytes)+" bytes")
		return cranberryward.Sheet{}, sheetReader.validationErrors
	}
	data = bytes.TrimPrefix(data, byteOrderMark)
	if !utf8.Valid(data) {
		sheetReader.addError("file", "bytes that are not UTF-8", "a file saved as CSV UTF-8")
		return cranberryward.Sheet{}, sheetReader.validationErrors
	}
	sheetReader.read(data)
	if len(sheetReader.validationErrors) > 0 {
		return cranberryward.Sheet{}, sheetReader.validationErrors
	}
	return sheetReader.sheet, nil
}

func (sheetReader *sheetReader) addError(column, found, expected string) {
	sheetReader.validationErrors = append(sheetReader.validationErrors, ValidationError{
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
	csvReader := csv.NewReader(bytes.NewReader(data))
	csvReader.Comma = separatorOf(data)
	csvReader.FieldsPerRecord = -1
	for {
		cells, err := csvReader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var parseError *csv.ParseError
		if errors.As(err, &parseError) {
			sheetReader.row = parseError.Line
			sheetReader.addError("column "+strconv.Itoa(parseError.Column), parseError.Err.Error(), "fields separated by commas or semicolons, quoted with \"")
			return
		}
		sheetReader.row, _ = csvReader.FieldPos(0)
		sheetReader.cells = cells
		if isBlank(cells) {
			continue
		}
		if sheetReader.columnIndex == nil {
			if !sheetReader.readHeader() {
				return
			}
			continue
		}
		sheetReader.readRow()
	}
	if sheetReader.columnIndex == nil {
		sheetReader.addError("file", "no rows", "a header row with the columns "+strings.Join(columns, ", "))
	}
}

func isBlank(cells []string) bool {
	for _, cell := range cells {
		if strings.TrimSpace(cell) != "" {
			return false
		}
	}
	return true
}

func (sheetReader *sheetReader) readHeader() bool {
	sheetReader.columnIndex = map[string]int{}
	for i, cell := range sheetReader.cells {
		name := strings.ToLower(strings.TrimSpace(cell))
		if name == "" {
			continue
		}
		if !isColumn(name) {
			sheetReader.addError("header "+strconv.Itoa(i+1), cell, "one of "+strings.Join(columns, ", "))
			continue
		}
		if _, duplicate := sheetReader.columnIndex[name]; duplicate {
			sheetReader.addError("header "+strconv.Itoa(i+1), cell, "each column once")
		}
		sheetReader.columnIndex[name] = i
	}
	for _, name := range []string{columnKind, columnName} {
		if _, ok := sheetReader.columnIndex[name]; !ok {
			sheetReader.addError(name, "", "a header cell "+name)
		}
	}
	return len(sheetReader.validationErrors) == 0
}

func isColumn(name string) bool {
	for _, column := range columns {
		if column == name {
			return true
		}
	}
	return false
}

func (sheetReader *sheetReader) cell(column string) string {
	i, ok := sheetReader.columnIndex[column]
	if !ok || i >= len(sheetReader.cells) {
		return ""
	}
	return strings.TrimSpace(sheetReader.cells[i])
}

func (sheetReader *sheetReader) readRow() {
	width := 0
	for _, i := range sheetReader.columnIndex {
		width = max(width, i+1)
	}
	for i := width; i < len(sheetReader.cells); i++ {
		if cell := strings.TrimSpace(sheetReader.cells[i]); cell != "" {
			sheetReader.addError("column "+strconv.Itoa(i+1), cell, "nothing beyond the header's columns")
		}
	}
	kind, name := sheetReader.cell(columnKind), sheetReader.cell(columnName)
	if name == "" || len(name) > maxNameBytes {
		sheetReader.addError(columnName, name, "a name of 1 to "+strconv.Itoa(maxNameBytes)+" bytes")
	}
	if first, duplicate := sheetReader.rowByKey[kind+"\x00"+name+"\x00"+sheetReader.cell(columnZone)]; duplicate {
		sheetReader.addError(columnName, name, "one row for each "+kind+", the first is row "+strconv.Itoa(first))
	}
	sheetReader.rowByKey[kind+"\x00"+name+"\x00"+sheetReader.cell(columnZone)] = sheetReader.row
	switch kind {
	case kindWindow:
		sheetReader.readWindow(name)
	case kindPriority:
		sheetReader.readPriority(name)
	case kindLeaving:
		sheetReader.requireEmpty(columnStart, columnEnd, columnTimeZone, columnValue)
		sheetReader.sheet.Leaving = append(sheetReader.sheet.Leaving, name)
	case kindVersions:
		sheetReader.readVersions(name)
	default:
		sheetReader.addError(columnKind, kind, strings.Join([]string{kindWindow, kindPriority, kindLeaving, kindVersions}, ", "))
	}
}

func (sheetReader *sheetReader) requireEmpty(names ...string) {
	for _, name := range names {
		if cell := sheetReader.cell(name); cell != "" {
			sheetReader.addError(name, cell, "an empty cell for this kind")
		}
	}
}

func (sheetReader *sheetReader) readWindow(name string) {
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
	sheetReader.requireEmpty(columnValue)
	if _, err := timekeeper.NewWindow(row); err != nil {
		column, expected := columnStart, "HH:MM or YYYY-MM-DD HH:MM in start and end ("+err.Error()+")"
		found := row.Start + " to " + row.End
		if strings.Contains(err.Error(), "IANA") {
			column, found, expected = columnTimeZone, row.TimeZone, "an IANA time zone such as America/Guayaquil"
		}
		sheetReader.addError(column, found, expected)
		return
	}
	sheetReader.sheet.QuietWindows = append(sheetReader.sheet.QuietWindows, row)
}

func (sheetReader *sheetReader) readPriority(name string) {
	sheetReader.requireEmpty(columnStart, columnEnd, columnTimeZone, columnZone)
	value, err := strconv.Atoi(sheetReader.cell(columnValue))
	if err != nil || value < 0 || value > maxPriority {
		sheetReader.addError(columnValue, sheetReader.cell(columnValue), "a priority from 0 to "+strconv.Itoa(maxPriority))
		return
	}
	sheetReader.sheet.Priorities = append(sheetReader.sheet.Priorities, cranberryward.WorkspacePriority{
		Workspace: name,
		Priority:  value,
	})
}

func (sheetReader *sheetReader) readVersions(name string) {
	sheetReader.requireEmpty(columnStart, columnEnd, columnTimeZone, columnZone)
	versions := strings.Fields(strings.ReplaceAll(sheetReader.cell(columnValue), "|", " "))
	if len(versions) == 0 {
		sheetReader.addError(columnValue, sheetReader.cell(columnValue), "model versions separated by spaces or |")
		return
	}
	sheetReader.sheet.ModelVersions = append(sheetReader.sheet.ModelVersions, cranberryward.ModelVersions{
		Group:    name,
		Versions: versions,
	})
}
