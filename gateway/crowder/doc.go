// Package crowder holds tests in which crowds of callers that keep to no limits press a real entry.
package crowder
