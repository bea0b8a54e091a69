// Package version is the command that prints the program's version.
package version
