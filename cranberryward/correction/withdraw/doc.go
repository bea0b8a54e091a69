// Package withdraw implements the command that withdraws a correction.
package withdraw
