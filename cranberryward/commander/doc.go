// Package commander holds what all commands share: exit codes, streams, the factory of their dependencies and the command tree.
package commander
