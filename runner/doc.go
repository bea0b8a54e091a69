// Package runner runs a program's server from its settings until a signal asks it to stop.
package runner
