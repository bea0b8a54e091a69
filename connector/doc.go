// Package connector sends requests to backend servers over pooled connections and reports for each send whether the request may have run.
package connector
