// Package list implements the command that lists the corrections that override the sheet.
package list
