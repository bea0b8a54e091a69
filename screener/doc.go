// Package screener decides whether a backend server may be sent to now, and how many requests: one answer for every path that sends.
package screener
