// Command ibisstall is the scheduler for agent programs.
package main

func main() {}
