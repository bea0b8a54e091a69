// Package serviceserver stands in for a backend server of a plain service and records each execution with its idempotency key.
package serviceserver
