package parser

import (
	"fmt"
	"strings"
)

// ValidationError is an error in a sheet, with its row and column.
type ValidationError struct {
	row      int
	column   string
	found    string
	expected string
}

// Row returns the line of the file, counted from 1, or 0 if the error concerns the whole file.
func (validationError ValidationError) Row() int { return validationError.row }

// Column returns the column's name.
func (validationError ValidationError) Column() string { return validationError.column }

// Found returns the value in the sheet.
func (validationError ValidationError) Found() string { return validationError.found }

// Expected describes the values that are accepted.
func (validationError ValidationError) Expected() string { return validationError.expected }

// Error returns the validation error on one line.
func (validationError ValidationError) Error() string {
	return fmt.Sprintf("row %d, column %s: expected %s, found %q", validationError.row, validationError.column, validationError.expected, validationError.found)
}

// ValidationErrors are all validation errors of one sheet.
type ValidationErrors []ValidationError

// Error returns the validation errors, one per line.
func (validationErrors ValidationErrors) Error() string {
	lines := make([]string, len(validationErrors))
	for i, validationError := range validationErrors {
		lines[i] = validationError.Error()
	}
	return strings.Join(lines, "\n")
}

// Lines returns the text of each validation error.
func (validationErrors ValidationErrors) Lines() []string {
	return strings.Split(validationErrors.Error(), "\n")
}
