// Package withdraw is the command that withdraws a correction.
package withdraw
