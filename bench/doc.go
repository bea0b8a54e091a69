// Command bench starts real processes on loopback and prints what the whole path costs and how the cost grows.
package main
