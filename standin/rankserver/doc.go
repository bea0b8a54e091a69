// Package rankserver stands in for a lock-step group of model runners and records every pass that begins with two map versions.
package rankserver
