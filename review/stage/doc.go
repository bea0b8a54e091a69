// Package stage runs the system's processes between stand-ins of callers, backend servers and the platform, for the cases of a review.
package stage
