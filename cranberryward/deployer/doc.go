// Package deployer starts a whole deployment on loopback in one process through the constructors that the programs use.
package deployer
