// Package recorder keeps the latest log lines of a process, so that the history of a request or a group can be shown.
package recorder
