// Package pool tracks the backend servers among which an entry routes the requests of one model or one service.
package pool
