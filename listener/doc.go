// Package listener serves HTTP with limits on header size, header time and idle time, and writes errors as JSON.
package listener
