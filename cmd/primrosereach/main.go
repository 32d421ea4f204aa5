// Command primrosereach runs an entry process and its command line.
package main

func main() {}
