// Package transport holds the goroutines of a process that carry traffic: HTTP
// and connect listeners and clients, the storage goroutine, and the control loop
// that runs the decisions of package coordination. It decides nothing itself.
package transport
