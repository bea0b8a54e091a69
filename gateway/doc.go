// Command gateway runs the system's processes on the platform: an entry where callers arrive, an agent beside each rank.
package main
