// Command player plays one case of the review: it runs the system's processes between stand-ins, records what happens and checks one rule.
package main
