// Package hedger decides when a request whose answer is late is sent to a second backend server as well.
package hedger
