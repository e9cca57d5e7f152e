// Package settings defines the settings file of one host: its names, its
// addresses, its certificate and where the platform is. Everything else comes
// from the accepted document.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/form"
)

// DefaultDrainTimeout is how long a planned stop waits for requests to end.
const DefaultDrainTimeout = 30 * time.Second

// Settings is the settings file. Listen is the address for callers and Link
// the one for other hosts, both IP:port. Peers are link addresses that a host
// tries before it knows its zone. Relative paths start at the file's folder.
// An empty Folder means that the host keeps nothing.
type Settings struct {
	Host         string        `json:"host"`
	Zone         string        `json:"zone"`
	Listen       string        `json:"listen"`
	Link         string        `json:"link"`
	Platform     string        `json:"platform"`
	Authority    string        `json:"authority"`
	Certificate  string        `json:"certificate"`
	Key          string        `json:"key"`
	Peers        []string      `json:"peers,omitempty"`
	DataFolder   string        `json:"folder,omitempty"`
	DrainTimeout form.Duration `json:"drain,omitempty"`
}

// Load reads and checks a settings file; problems come as a
// *form.ProblemsError.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Decode(path, data)
	if err != nil {
		return Settings{}, err
	}
	return s.rooted(filepath.Dir(path)), nil
}

// Decode reads and checks settings without touching their paths.
func Decode(file string, data []byte) (Settings, error) {
	return form.Decode[Settings](file, data)
}

// Check reports every problem of the settings.
func (s *Settings) Check(report *form.Report) {
	s.checkNames(report)
	s.checkAddresses(report)
	s.checkFiles(report)
}

func (s *Settings) checkNames(report *form.Report) {
	if s.Host == "" {
		report.Add("/host", "is missing", "name it as the platform does")
	}
	if s.Zone == "" {
		report.Add("/zone", "is missing", "name it as the document does")
	}
}

func (s *Settings) checkAddresses(report *form.Report) {
	address(report, "/listen", s.Listen)
	address(report, "/link", s.Link)
	for i, peer := range s.Peers {
		address(report, fmt.Sprintf("/peers/%d", i), peer)
	}
	base, err := url.Parse(s.Platform)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		report.Add("/platform", fmt.Sprintf("%q is not an HTTP address", s.Platform), "write http://IP:port")
	}
}

func address(report *form.Report, pointer, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		report.Add(pointer, fmt.Sprintf("%q is not IP:port", value), "write an IP number and a port")
	}
}

func (s *Settings) checkFiles(report *form.Report) {
	if s.Authority == "" {
		report.Add("/authority", "is missing", "name the file of the authority's certificate")
	}
	if s.Certificate == "" {
		report.Add("/certificate", "is missing", "name the file of the host's certificate")
	}
	if s.Key == "" {
		report.Add("/key", "is missing", "name the file of the host's private key")
	}
}

func (s Settings) rooted(folder string) Settings {
	for _, path := range []*string{&s.Authority, &s.Certificate, &s.Key, &s.DataFolder} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
	return s
}
