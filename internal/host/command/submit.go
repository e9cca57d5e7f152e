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

// askPause is the wait between two questions to the hosts.
const askPause = 100 * time.Millisecond

type submitCommand struct {
	output
	File     string        `arg:"" type:"existingfile" help:"The document."`
	Platform string        `required:"" help:"Address of the platform, http://IP:port."`
	By       string        `required:"" help:"Who submits it, for the audit trail."`
	Base     uint64        `help:"Version that the document was made from; without it, the one accepted now."`
	Host     []string      `help:"Address of a host for callers, to wait until the document is in force there; may be given more than once."`
	Wait     time.Duration `default:"30s" help:"Longest wait, for the acceptance and for the hosts."`
}

// submitted is what submit shows.
type submitted struct {
	Version uint64     `json:"version"`
	Hosts   []hostHave `json:"hosts,omitempty"`
}

// hostHave is the version in force at a host.
type hostHave struct {
	Address string `json:"address"`
	Host    string `json:"host,omitempty"`
	Version uint64 `json:"version"`
	InForce bool   `json:"inforce"`
	Error   string `json:"error,omitempty"`
}

// Run checks the document, submits it and waits until it is in force at the
// hosts.
func (c submitCommand) Run(ctx context.Context, streams Streams) error {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := document.Decode(c.File, body); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, c.Wait)
	defer stop()
	result, err := c.submit(ctx, body)
	if err != nil {
		return err
	}
	missing := c.await(ctx, &result)
	if err := c.show(streams, result, func() error { return result.text(streams) }); err != nil {
		return err
	}
	if missing > 0 {
		return &FailedError{Reason: fmt.Sprintf("accepted, but not in force at %d of %d hosts yet", missing, len(c.Host))}
	}
	return nil
}

func (c submitCommand) submit(ctx context.Context, body []byte) (submitted, error) {
	store := &object.Client{Base: c.Platform}
	base := c.Base
	if base == 0 {
		current, err := spread.Get(ctx, store)
		if err != nil {
			return submitted{}, err
		}
		base = current.Version
	}
	version, err := server.Submit(ctx, store, c.By, base, body)
	return submitted{Version: version}, err
}

// await asks the hosts until each has the version, or one higher, in force. It
// returns the number of hosts that have not when ctx ends.
func (c submitCommand) await(ctx context.Context, result *submitted) int {
	for {
		hosts, missing := c.ask(ctx, result.Version)
		if ctx.Err() == nil || result.Hosts == nil { // answers cut short say nothing
			result.Hosts = hosts
		}
		if missing == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return missing
		case <-time.After(askPause):
		}
	}
}

// ask asks each host once.
func (c submitCommand) ask(ctx context.Context, version uint64) (hosts []hostHave, missing int) {
	for _, address := range c.Host {
		have := haveOf(askHost(ctx, address), version)
		if !have.InForce {
			missing++
		}
		hosts = append(hosts, have)
	}
	return hosts, missing
}

func haveOf(answer hostStatus, want uint64) hostHave {
	have := hostHave{Address: answer.Address, Error: answer.Error}
	if answer.Status != nil {
		have.Host, have.Version = answer.Status.Host, answer.Status.Version
		have.InForce = have.Version >= want
	}
	return have
}

func (s submitted) text(streams Streams) error {
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
