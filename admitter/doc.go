// Package admitter estimates how many requests a lock-step group can bear before its streams come late.
package admitter
