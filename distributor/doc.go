// Package distributor spreads the configuration and the membership of a zone from the platform to every process along a tree.
package distributor
