// Package ingress bounds what clients can make a process hold: connections, bytes of request bodies,
// and the time for headers, bodies and answers that are not read. It is used by each listener. A
// request that is refused here has not reached the rest of the process.
package ingress
