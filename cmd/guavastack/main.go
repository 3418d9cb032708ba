// Command guavastack routes language-model traffic with service levels and priorities.
package main

func main() {}
