// Package limiter decides which requests a backend server accepts, in which order, and how many retries may be sent.
package limiter
