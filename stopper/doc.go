// Package stopper decides which requests a process still accepts while it stops.
package stopper
