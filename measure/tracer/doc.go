// Package tracer makes the seeded load traces of docs/MEASURES.md.
package tracer
