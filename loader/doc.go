// Package loader reads settings from flags and environment variables and reports all validation errors at once.
package loader
