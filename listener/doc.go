// Package listener serves HTTP with bounded headers and idle times and answers errors as JSON.
package listener
