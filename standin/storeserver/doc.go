// Package storeserver stands in for the platform's metadata store: revisions, conditions, leases, watches and what fails about them.
package storeserver
