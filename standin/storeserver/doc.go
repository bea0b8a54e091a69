// Package storeserver stands in for the platform's metadata store, with revisions, preconditions, leases, watches and injected faults.
package storeserver
