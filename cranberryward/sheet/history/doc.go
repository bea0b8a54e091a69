// Package history implements the command that lists the most recently accepted submissions.
package history
