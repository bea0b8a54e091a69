// Package status is the command that shows the state of the deployment.
package status
