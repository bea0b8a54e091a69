// Package logkeeper keeps the logs of processes that a failed test has started.
package logkeeper
