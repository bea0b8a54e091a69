// Package server implements an entry instance: the callers' HTTP interface, routing, the administration interface and the groups' controllers.
package server
