// Package administrator provides a client for the administration interface of an entry.
package administrator
