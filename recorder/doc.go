// Package recorder keeps the last log lines of a process, so that a request's or a group's story can be told.
package recorder
