// Package parser parses the operators' sheet from a CSV export and reports all validation errors at once.
package parser
