// Package explain is the command that tells the story of a request or a group.
package explain
