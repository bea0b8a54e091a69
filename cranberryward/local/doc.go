// Package local implements the command that runs a whole deployment in one process, for trying the system out and for smoke tests.
package local
