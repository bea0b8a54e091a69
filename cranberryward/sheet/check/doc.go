// Package check is the command that checks a sheet without the network.
package check
