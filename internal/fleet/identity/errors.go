package identity

import "fmt"

// Reason says why a peer was turned away.
type Reason string

// The reasons to turn a peer away.
const (
	NoCertificate  Reason = "no certificate"
	NoHost         Reason = "certificate names no host"
	WrongAuthority Reason = "certificate of another authority"
	Expired        Reason = "certificate expired"
	NotYetValid    Reason = "certificate not yet valid"
	WrongName      Reason = "certificate of another host"
	WrongZone      Reason = "certificate of another availability zone"
)

// PeerError says that a peer was turned away. Host is what its certificate
// names, as far as it could be read. Want is set when a certain host was
// expected.
type PeerError struct {
	Reason Reason
	Host   Host
	Want   Host
	Err    error
}

func (e *PeerError) Error() string {
	text := fmt.Sprintf("peer %s/%s refused: %s", e.Host.Zone, e.Host.Name, e.Reason)
	if e.Want != (Host{}) {
		text += fmt.Sprintf(", want %s/%s", e.Want.Zone, e.Want.Name)
	}
	return text
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Err }

// NameError says that a host or zone has a name that can't be used.
type NameError struct {
	Field string
	Value string
}

func (e *NameError) Error() string {
	return fmt.Sprintf("host: %s %q is not 1 to %d letters, digits, '-' or '.'", e.Field, e.Value, MaxNameLength)
}

// FileError says that a certificate or key file can't be used.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }
