// Command scene plays the cases of the review: it starts instances of the gateway as
// separate processes on loopback addresses, with stand-ins for the store, the upstreams
// and the clients, and checks one rule.
//
//	scene CASE RECORD
//
// With TROUBLE=0 in the environment, the disruption is left out. The exit code is 0 if the
// rule held, 1 if it was broken, and 2 if the case couldn't run.
package main
