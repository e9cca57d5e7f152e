// Package examples holds the example documents and settings, which the demo
// uses too.
package examples

import _ "embed"

// Forge is the document of the site hcm-south.
//
//go:embed forge.hujson
var Forge []byte

// Consortium is the document of the site dakar.
//
//go:embed consortium.hujson
var Consortium []byte

// Host is a settings file.
//
//go:embed host.hujson
var Host []byte
