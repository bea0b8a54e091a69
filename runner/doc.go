// Package runner runs a program's server with its settings until the process is signaled to stop.
package runner
