// Package status implements the command that prints the state of the deployment.
package status
