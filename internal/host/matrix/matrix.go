// Package matrix holds the fault matrix. Its test injects each fault at each step of a
// small site, sends requests meanwhile, and checks every guarantee that applies. The
// cells are listed in testdata; docs/FAULTS.md is generated from them.
package matrix
