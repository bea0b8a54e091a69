// Command cranberryward is the command-line tool for operators.
package main
