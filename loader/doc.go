// Package loader reads settings from flags and environment variables and reports every fault together.
package loader
