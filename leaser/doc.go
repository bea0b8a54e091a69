// Package leaser acquires and renews leases on keys of the platform's key-value service and gives each holder a fencing number.
package leaser
