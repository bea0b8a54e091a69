// Command standin runs the small stand-ins of the platform and of backend servers for tests and a first look.
package main
