// Package scriptserver stands in for a backend server that answers each request with bytes that a test chooses.
package scriptserver
