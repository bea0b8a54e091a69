// Command agent runs next to one backend server and controls which requests and orders reach it.
package main
