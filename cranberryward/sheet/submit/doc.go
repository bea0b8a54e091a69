// Package submit is the command that puts a sheet in force.
package submit
