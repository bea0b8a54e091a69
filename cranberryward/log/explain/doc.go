// Package explain implements the command that reconstructs the timeline of a request from the log files of several instances.
package explain
