// Package connector sends requests to backend servers over kept connections and tells what is certain about each send.
package connector
