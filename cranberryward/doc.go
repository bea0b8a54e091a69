// Command cranberryward is the operators' command line.
package main
