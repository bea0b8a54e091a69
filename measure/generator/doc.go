// Package generator generates the seeded synthetic load traces that docs/MEASURES.md describes.
package generator
