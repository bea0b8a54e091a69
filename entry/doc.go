// Command entry takes requests from callers, routes them and controls the groups of its availability zone.
package main
