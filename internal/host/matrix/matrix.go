// Package matrix holds the fault matrix. A cell of the matrix is a fault, the step at which
// it is injected, such as the start of a generation or a read of an object, and the kind of
// requests sent meanwhile. Its test runs each cell on a small site and checks every
// guarantee that applies. The cells are listed in testdata; docs/FAULTS.md is generated
// from them.
package matrix
