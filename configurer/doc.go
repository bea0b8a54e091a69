// Package configurer keeps the log of accepted submissions in the platform's key-value service and derives what is in force.
package configurer
