// Package homekeeper maintains the table of key homes of one plain service and decides which keys this instance may admit.
package homekeeper
