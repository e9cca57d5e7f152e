// Package matrix holds the fault matrix: its test brings about each fault at
// each step of a small site, does work meanwhile, and checks every promise that
// applies. Testdata lists the cells; docs/FAULTS.md is made from them.
package matrix
