// Package deployer starts a whole deployment on loopback in one process, using the same constructors as the programs.
package deployer
