// Command gateway runs the system's processes on the platform: an entry that serves callers, or an agent next to a rank.
package main
