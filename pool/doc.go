// Package pool tracks the backend servers that an entry routes one model's or one service's requests among.
package pool
