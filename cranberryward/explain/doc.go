// Package explain implements the command that prints what an entry logged about a request or a group.
package explain
