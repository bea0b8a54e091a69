// Package show implements the command that prints the sheet in force.
package show
