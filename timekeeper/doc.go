// Package timekeeper determines when quiet windows open and close in each zone.
package timekeeper
