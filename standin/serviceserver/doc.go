// Package serviceserver stands in for a plain service and counts executions by key.
package serviceserver
