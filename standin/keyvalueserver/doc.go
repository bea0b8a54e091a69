// Package keyvalueserver stands in for the platform's key-value service.
package keyvalueserver
