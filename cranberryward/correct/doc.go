// Package correct implements the commands that make corrections, which override parts of the sheet.
package correct
