package command

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/fleet/spread"
	"github.com/hyssopwall/hyssopwall/internal/host/server"
	"github.com/hyssopwall/hyssopwall/internal/platform/object"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
)

// pollInterval is the time between two rounds of status requests to the hosts.
const pollInterval = 100 * time.Millisecond

// submitCommand is "submit".
type submitCommand struct {
	output
	File     string        `arg:"" type:"existingfile" help:"The document."`
	Platform string        `required:"" help:"Address of the platform, http://IP:port."`
	By       string        `required:"" help:"Who submits the document, for the audit trail."`
	Base     uint64        `help:"Version that the document is based on; by default the one accepted now."`
	Host     []string      `help:"Address of a host for callers, to wait until the document is in force there; may be given more than once."`
	Wait     time.Duration `default:"30s" help:"Timeout for the submission and the wait for the hosts together."`
}

// submitResult is the output of "submit".
type submitResult struct {
	Version uint64        `json:"version"`
	Hosts   []hostVersion `json:"hosts,omitempty"`
}

// hostVersion is the version of the document in force at a host.
type hostVersion struct {
	Address string `json:"address"`
	Host    string `json:"host,omitempty"`
	Version uint64 `json:"version"`
	InForce bool   `json:"inforce"`
	Error   string `json:"error,omitempty"`
}

// Run checks the document, submits it and waits until it is in force at the hosts. It
// fails if that takes longer than --wait at any of them.
func (c submitCommand) Run(ctx context.Context, streams Streams) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := document.Decode(c.File, body); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	result, err := c.submit(ctx, body)
	if err != nil {
		return err
	}
	missing := c.awaitInForce(ctx, &result)
	if err := c.show(streams, result, func() error { return result.writeText(streams) }); err != nil {
		return err
	}
	if missing > 0 {
		return &FailedError{Reason: fmt.Sprintf("accepted, but not in force at %d of %d hosts yet", missing, len(c.Host))}
	}
	return nil
}

// submit submits the document against the base version, which defaults to the accepted
// one. A newer accepted version makes it fail with a conflict.
func (c submitCommand) submit(ctx context.Context, body []byte) (submitResult, error) {
	store := &object.Client{Base: c.Platform}
	base := c.Base
	if base == 0 {
		current, err := spread.Get(ctx, store)
		if err != nil {
			return submitResult{}, err
		}
		base = current.Version
	}
	version, err := server.Submit(ctx, store, c.By, base, body)
	return submitResult{Version: version}, err
}

// awaitInForce polls the hosts until each has the submitted version, or a higher one, in
// force. It returns the number of hosts that don't when ctx ends.
func (c submitCommand) awaitInForce(ctx context.Context, result *submitResult) int {
	for {
		hosts, missing := c.poll(ctx, result.Version)
		if ctx.Err() == nil || result.Hosts == nil { // a round interrupted by ctx is incomplete
			result.Hosts = hosts
		}
		if missing == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return missing
		case <-time.After(pollInterval):
		}
	}
}

// poll fetches the status of each host once and counts those where the version is not in
// force.
func (c submitCommand) poll(ctx context.Context, version uint64) (hosts []hostVersion, missing int) {
	for _, address := range c.Host {
		host := versionOf(fetchStatus(ctx, address), version)
		if !host.InForce {
			missing++
		}
		hosts = append(hosts, host)
	}
	return hosts, missing
}

// versionOf reduces the status of a host to the version in force; want or any higher
// version counts.
func versionOf(status hostStatus, want uint64) hostVersion {
	host := hostVersion{Address: status.Address, Error: status.Error}
	if status.Status != nil {
		host.Host, host.Version = status.Status.Host, status.Status.Version
		host.InForce = host.Version >= want
	}
	return host
}

// writeText writes the accepted version and a table of the hosts.
func (s submitResult) writeText(streams Streams) error {
	_, _ = fmt.Fprintf(streams.Out, "accepted as version %d\n", s.Version)
	if len(s.Hosts) == 0 {
		return nil
	}
	rows := [][]string{{"HOST", "ADDRESS", "DOCUMENT", "IN FORCE"}}
	for _, host := range s.Hosts {
		state := "yes"
		if !host.InForce {
			state = "no"
		}
		if host.Error != "" {
			state = "unreachable"
		}
		rows = append(rows, []string{orDash(host.Host), host.Address, strconv.FormatUint(host.Version, 10), state})
	}
	return table(streams, rows)
}
