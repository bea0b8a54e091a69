// Package where implements the command that asks an entry where a request would go now.
package where
