// Command measure replays seeded load traces through the decision functions and prints one row a policy.
package main
