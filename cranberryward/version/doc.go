// Package version implements the command that prints the version of the program.
package version
