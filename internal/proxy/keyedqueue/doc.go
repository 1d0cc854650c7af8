// Package keyedqueue runs the requests of one key one at a time, in order of arrival. A request starts when the
// previous request of its key has ended and none of that request's attempts may still be running at a server.
package keyedqueue
