// Package check implements the command that validates a sheet without the network.
package check
