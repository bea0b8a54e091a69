// Package listserver stands in for the platform's instance list, which shows changes with a lag.
package listserver
