// Command ctrl is a placeholder until its app package lands.
package main

func main() {}
