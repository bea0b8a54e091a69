// Package caller carries net/rpc calls between the project's processes that prove the deployment's shared key.
package caller
