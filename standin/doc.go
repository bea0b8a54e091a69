// Command standin runs stand-ins of the platform and of backend servers for tests and local use.
package main
