// Package crowder holds tests in which crowds of callers that keep to no limits press a real entry of the product's own interface.
package crowder
