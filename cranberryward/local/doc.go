// Package local is the command that runs the whole path in one process for a first look.
package local
