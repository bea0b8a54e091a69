// Package submit implements the command that puts a sheet in force.
package submit
