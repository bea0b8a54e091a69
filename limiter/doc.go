// Package limiter decides which requests a backend server takes, in which order, and how often others are sent again.
package limiter
