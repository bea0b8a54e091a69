// Command agent stands beside one backend server and admits requests and orders to it.
package main
