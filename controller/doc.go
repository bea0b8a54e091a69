// Package controller changes the expert maps of a zone's lock-step groups under leases.
package controller
