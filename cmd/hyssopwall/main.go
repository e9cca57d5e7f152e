// Command hyssopwall is described in the README.
package main

func main() {}
