// Package scriptserver stands in for a backend server that responds to each request with bytes chosen by a test.
package scriptserver
