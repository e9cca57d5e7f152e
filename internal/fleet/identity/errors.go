package identity

import "fmt"

// Reason is why a peer was refused.
type Reason string

// The reasons to refuse a peer.
const (
	NoCertificate  Reason = "no certificate"
	NoHost         Reason = "certificate names no host"
	WrongAuthority Reason = "certificate of another authority"
	Expired        Reason = "certificate expired"
	NotYetValid    Reason = "certificate not yet valid"
	WrongName      Reason = "certificate of another host"
	WrongZone      Reason = "certificate of another availability zone"
)

// PeerError reports that a peer was refused. Host is the host that its certificate
// names, or empty when it names none. Want is set when a specific host was expected.
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

// NameError reports that the name of a host or zone is invalid.
type NameError struct {
	Field string
	Value string
}

func (e *NameError) Error() string {
	return fmt.Sprintf("host: %s %q is not 1 to %d letters, digits, '-' or '.'", e.Field, e.Value, MaxNameLength)
}

// FileError reports that a certificate or key file can't be read, written or parsed.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }
