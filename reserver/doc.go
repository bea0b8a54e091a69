// Package reserver bounds the memory that a process holds for others: bodies of requests, answers and heads take their bytes before they are held.
package reserver
