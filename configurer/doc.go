// Package configurer stores the log of accepted submissions in the platform's key-value service and derives the effective configuration.
package configurer
