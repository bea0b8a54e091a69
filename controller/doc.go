// Package controller plans and applies changes to the expert maps of a zone's lock-step groups, each under a lease.
package controller
