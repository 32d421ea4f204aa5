// Package processtest runs real entry processes in tests. It builds the program once,
// starts processes on loopback ports with their own settings files and data
// directories, sends them signals, and runs stand-in endpoints in the test process.
package processtest
