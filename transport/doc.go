// Package transport holds the goroutines of a process that handle traffic: HTTP and
// Connect listeners and clients, the storage goroutine, and the control loop that runs
// package coordination. It makes no decisions itself.
package transport
