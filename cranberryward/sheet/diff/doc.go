// Package diff implements the command that compares a sheet with the one in force.
package diff
