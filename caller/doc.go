// Package caller carries net/rpc calls between the system's processes, which authenticate each other with the deployment's shared key.
package caller
