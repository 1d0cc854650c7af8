// Package subset chooses the subset of servers that a balancer sends its requests to, so that many balancers together
// load all servers evenly although each balancer uses only a few.
//
// The servers lie on a circle; the length of a server on the circle is proportional to its weight. The subset of a
// balancer is an arc of the circle, long enough for as many servers as the balancer's own traffic supports: with more,
// the balancer would learn too little of the state of each server. A server at an end of the arc gets turns in
// proportion to the part of it that lies in the arc.
//
// Arcs start at equal distances. Their lengths are powers of two, so that the ends of the arcs of balancers with
// similar traffic are evenly spread too.
package subset
