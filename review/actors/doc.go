// Actors plays the cases of the second review: clients, backend servers and the platform around processes of the gateway.
package main
