// Package list is the command that lists the corrections that lie over the sheet.
package list
