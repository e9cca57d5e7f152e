package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/host/server"
	"github.com/hyssopwall/hyssopwall/internal/platform/rest"
)

// statusTimeout bounds the question to one host.
const statusTimeout = 5 * time.Second

type statusCommand struct {
	output
	Host []string `required:"" help:"Address of a host for callers, http://IP:port; may be given more than once."`
}

// hostStatus is the answer of one host, or why there is none.
type hostStatus struct {
	Address string         `json:"address"`
	Error   string         `json:"error,omitempty"`
	Status  *server.Status `json:"status,omitempty"`
}

// Run asks each host and shows what it answers.
func (c statusCommand) Run(ctx context.Context, streams Streams) error {
	var all []hostStatus
	failed := 0
	for _, address := range c.Host {
		one := askHost(ctx, address)
		if one.Status == nil || !one.Status.Ready {
			failed++
		}
		all = append(all, one)
	}
	if err := c.show(streams, all, func() error { return writeStatus(streams, all) }); err != nil {
		return err
	}
	if failed > 0 {
		return &FailedError{Reason: fmt.Sprintf("%d of %d hosts not ready", failed, len(all))}
	}
	return nil
}

func askHost(ctx context.Context, address string) hostStatus {
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	one := hostStatus{Address: address}
	body, err := rest.Caller{Base: address}.Do(ctx, rest.Call{Method: http.MethodGet, Path: "/debug/status"})
	if err != nil {
		one.Error = err.Error()
		return one
	}
	var status server.Status
	if err := json.Unmarshal(body, &status); err != nil {
		one.Error = err.Error()
		return one
	}
	one.Status = &status
	return one
}

func writeStatus(streams Streams, all []hostStatus) error {
	rows := [][]string{{"HOST", "ZONE", "READY", "DOCUMENT", "DUTIES", "STEPS", "RUNNING", "PEERS", "CUT OFF SINCE"}}
	servers := [][]string{{"SERVER", "POOL", "HOME", "WEIGHTS", "RUNNING", "SLOTS", "STATE"}}
	for _, one := range all {
		if one.Status == nil {
			rows = append(rows, []string{one.Address, "", "unreachable"})
			continue
		}
		s := one.Status
		rows = append(rows, []string{
			s.Host, s.Zone, ready(*s), strconv.FormatUint(s.Version, 10), strings.Join(s.Duties, ","),
			strconv.Itoa(s.Steps), strconv.Itoa(s.Running), peersOf(*s), since(s.CutOff),
		})
		for _, server := range s.Servers {
			servers = append(servers, []string{
				server.Server, server.Pool, s.Host, strconv.FormatUint(server.Version, 10),
				strconv.Itoa(server.Running), strconv.Itoa(server.Slots), stateOf(server),
			})
		}
	}
	if err := table(streams, rows); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(streams.Out)
	return table(streams, servers)
}

func ready(s server.Status) string {
	if s.Ready {
		return "yes"
	}
	return "no: " + s.Reason
}

func peersOf(s server.Status) string {
	counts := map[string]int{}
	for _, host := range s.Hosts {
		counts[host.State]++
	}
	return fmt.Sprintf("%d live, %d failed", counts["live"], counts["failed"])
}

func stateOf(s server.BackendStatus) string {
	if s.Leaving {
		return "leaving"
	}
	return "serving"
}

func since(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(time.RFC3339)
}
