// Package settings defines the settings file of one host: its name and zone, its
// addresses, its certificate and the address of the platform. All other configuration
// comes from the accepted document.
package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/site/form"
)

// DefaultMemory is the memory of a host for which the settings give none, in MiB.
const DefaultMemory = 1024

// DefaultDrainTimeout is the time that a planned stop waits for requests to end.
const DefaultDrainTimeout = 30 * time.Second

// Settings is the settings file. The host listens on Listen for callers and on Link for
// other hosts; both are IP:port. Peers are the Link addresses of hosts to contact until
// the members of the zone are known. Platform is the platform's URL. Authority,
// Certificate and Key are the paths of PEM files. Relative paths are resolved against the
// folder of the settings file. With an empty DataFolder the host stores nothing on disk. A
// zero DrainTimeout means DefaultDrainTimeout. Memory is that of the host in MiB, zero for
// DefaultMemory, and Files the number of its descriptors, zero for no limit; they bound what
// callers may take.
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
	Memory       int64         `json:"memory,omitempty"`
	Files        int           `json:"files,omitempty"`
}

// MemoryBytes returns the memory of the host in bytes.
func (s Settings) MemoryBytes() int64 { return cmp.Or(s.Memory, DefaultMemory) << 20 }

// Load reads and checks a settings file and resolves its relative paths. Invalid settings
// are reported as a *form.ProblemsError. The files that the settings name are not read.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Decode(path, data)
	if err != nil {
		return Settings{}, err
	}
	return s.resolvePaths(filepath.Dir(path)), nil
}

// Decode parses and checks settings and leaves their paths unchanged. Unknown fields are
// problems as well.
func Decode(file string, data []byte) (Settings, error) {
	return form.Decode[Settings](file, data)
}

// Check reports every invalid setting.
func (s *Settings) Check(report *form.Report) {
	s.checkNames(report)
	s.checkAddresses(report)
	s.checkPaths(report)
	s.checkLimits(report)
}

func (s *Settings) checkNames(report *form.Report) {
	if s.Host == "" {
		report.Add("/host", "is missing", "use the platform's name of the host")
	}
	if s.Zone == "" {
		report.Add("/zone", "is missing", "use the name of the zone in the document")
	}
}

func (s *Settings) checkAddresses(report *form.Report) {
	checkAddress(report, "/listen", s.Listen)
	checkAddress(report, "/link", s.Link)
	for i, peer := range s.Peers {
		checkAddress(report, fmt.Sprintf("/peers/%d", i), peer)
	}
	base, err := url.Parse(s.Platform)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		report.Add("/platform", fmt.Sprintf("%q is not an HTTP URL", s.Platform), "write http://IP:port")
	}
}

// checkAddress reports a value that is not IP:port.
func checkAddress(report *form.Report, pointer, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		report.Add(pointer, fmt.Sprintf("%q is not IP:port", value), "write an IP address and a port")
	}
}

// checkPaths reports paths of PEM files that are not set. It does not open the files.
func (s *Settings) checkPaths(report *form.Report) {
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

// minMemory is the least memory of a host in MiB.
const minMemory = 96

// checkLimits reports limits that no host can keep.
func (s *Settings) checkLimits(report *form.Report) {
	if s.Memory != 0 && s.Memory < minMemory {
		report.Add("/memory", fmt.Sprintf("is %d MiB", s.Memory), fmt.Sprintf("give the host %d MiB or more, or leave it out for %d", minMemory, DefaultMemory))
	}
	if s.Files < 0 {
		report.Add("/files", "is negative", "write the number of descriptors of the process, or leave it out for no limit")
	}
}

// resolvePaths returns the settings with relative paths joined to folder.
func (s Settings) resolvePaths(folder string) Settings {
	for _, path := range []*string{&s.Authority, &s.Certificate, &s.Key, &s.DataFolder} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
	return s
}
