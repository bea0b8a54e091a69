// Package leaser holds leases of the platform's key-value service and numbers their holders.
package leaser
