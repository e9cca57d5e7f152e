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

// statusTimeout bounds a request to one host for its status or burn counts.
const statusTimeout = 5 * time.Second

// statusCommand is "status".
type statusCommand struct {
	output
	Host []string `required:"" help:"Address of a host for callers, http://IP:port; may be given more than once."`
}

// hostStatus is the status of one host, or the error that occurred instead.
type hostStatus struct {
	Address string         `json:"address"`
	Error   string         `json:"error,omitempty"`
	Status  *server.Status `json:"status,omitempty"`
}

// Run fetches and shows the status of each host. It fails if a host is unreachable or not
// ready.
func (c statusCommand) Run(ctx context.Context, streams Streams) error {
	var statuses []hostStatus
	failed := 0
	for _, address := range c.Host {
		status := fetchStatus(ctx, address)
		if status.Status == nil || !status.Status.Ready {
			failed++
		}
		statuses = append(statuses, status)
	}
	if err := c.show(streams, statuses, func() error { return writeStatus(streams, statuses) }); err != nil {
		return err
	}
	if failed > 0 {
		return &FailedError{Reason: fmt.Sprintf("%d of %d hosts not ready", failed, len(statuses))}
	}
	return nil
}

// fetchStatus fetches the status of the host at address.
func fetchStatus(ctx context.Context, address string) hostStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	result := hostStatus{Address: address}
	body, err := rest.Caller{Base: address}.Do(ctx, rest.Call{Method: http.MethodGet, Path: "/debug/status"})
	if err != nil {
		result.Error = err.Error()
		return result
	}
	var status server.Status
	if err := json.Unmarshal(body, &status); err != nil {
		result.Error = err.Error()
		return result
	}
	result.Status = &status
	return result
}

// writeStatus writes a table of the hosts and one of their backend servers.
func writeStatus(streams Streams, statuses []hostStatus) error {
	rows := [][]string{{"HOST", "ZONE", "READY", "DOCUMENT", "DUTIES", "STEPS", "RUNNING", "PEERS", "CUT OFF SINCE"}}
	servers := [][]string{{"SERVER", "POOL", "HOME", "WEIGHTS", "RUNNING", "SLOTS", "STATE"}}
	for _, host := range statuses {
		if host.Status == nil {
			rows = append(rows, []string{host.Address, "", "unreachable"})
			continue
		}
		s := host.Status
		rows = append(rows, []string{
			s.Host, s.Zone, formatReady(*s), strconv.FormatUint(s.Version, 10), strings.Join(s.Duties, ","),
			strconv.Itoa(s.Steps), strconv.Itoa(s.Running), formatPeers(*s), formatTime(s.CutOff),
		})
		for _, server := range s.Servers {
			servers = append(servers, []string{
				server.Server, server.Pool, s.Host, strconv.FormatUint(server.Version, 10),
				strconv.Itoa(server.Running), strconv.Itoa(server.Slots), formatState(server),
			})
		}
	}
	if err := table(streams, rows); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(streams.Out)
	return table(streams, servers)
}

// formatReady returns "yes", or "no" with the reason.
func formatReady(s server.Status) string {
	if s.Ready {
		return "yes"
	}
	return "no: " + s.Reason
}

// formatPeers counts the hosts that s lists as live and as failed.
func formatPeers(s server.Status) string {
	counts := map[string]int{}
	for _, host := range s.Hosts {
		counts[host.State]++
	}
	return fmt.Sprintf("%d live, %d failed", counts["live"], counts["failed"])
}

// formatState returns whether a backend server is serving or leaving.
func formatState(s server.BackendStatus) string {
	if s.Leaving {
		return "leaving"
	}
	return "serving"
}

// formatTime returns at in UTC, or "-" for the zero time.
func formatTime(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(time.RFC3339)
}
