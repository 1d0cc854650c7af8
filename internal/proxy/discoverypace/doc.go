// Package discoverypace schedules a balancer's calls to the discovery service for the list of servers, for services
// that must be asked for the list.
//
// In a fleet of eighty balancers that all called at once, most calls timed out, and their retries kept the discovery
// service busy permanently. In a large fleet each balancer therefore makes its first call at a random time, and retries
// at its part of the rate of calls that the discovery service can handle.
package discoverypace
