// Command entry accepts requests from callers, routes them to backend servers and controls the groups of its availability zone.
package main
