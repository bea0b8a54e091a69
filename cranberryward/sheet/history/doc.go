// Package history is the command that lists the last accepted submissions.
package history
