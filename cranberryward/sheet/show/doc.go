// Package show is the command that shows the sheet in force.
package show
