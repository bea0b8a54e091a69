// Package explain is the command that tells a request's story from log files of several instances.
package explain
