// Package correct holds the commands that make direct corrections.
package correct
