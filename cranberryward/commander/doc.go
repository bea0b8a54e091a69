// Package commander provides what all commands share: exit codes, input and output streams, a factory for their dependencies and the command tree.
package commander
