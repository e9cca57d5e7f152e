// Package examples embeds the example documents and settings. The demo runs the sites that
// they describe.
package examples

import _ "embed"

// Forge is the document of the example site hcm-south, in HuJSON.
//
//go:embed forge.hujson
var Forge []byte

// Consortium is the document of the example site dakar, in HuJSON.
//
//go:embed consortium.hujson
var Consortium []byte

// Host is an example of the settings file of a host, in HuJSON.
//
//go:embed host.hujson
var Host []byte
