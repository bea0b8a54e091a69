// Package listserver stands in for the platform's lagging instance list.
package listserver
