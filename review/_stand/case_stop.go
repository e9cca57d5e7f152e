package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

// Times of the case, from the SIGTERM on.
const (
	sentAfter = 3200 * time.Millisecond // when the clients send on their kept connections
	slowWork  = 4200 * time.Millisecond // of these requests; they end before grace_s is over
	grace     = 8 * time.Second         // grace_s
)

// stopCase stops a machine as planned while clients go on using their open connections.
func stopCase(rec *Record) ([]string, error) {
	site, err := newSite(rec)
	if err != nil {
		return nil, err
	}
	defer site.close()
	site.Store.Set("config", "main", config(3, "unsafe", 10000, map[string]any{"service": "quote-llm"}, []any{llm("quote-llm")}))
	for i := range 2 {
		server := &Server{Name: fmt.Sprintf("i-a%d", i), Service: "app", Zone: "za", Slots: 6, Store: site.Store, Rec: rec, Work: func(path string) time.Duration {
			if strings.HasPrefix(path, "/plain/long/") {
				return slowWork
			}
			return 25 * time.Millisecond
		}}
		if err := server.start(); err != nil {
			return nil, err
		}
	}
	for i := range 2 {
		if err := site.newHost(fmt.Sprintf("edge-za-%d", i+1), "za").start(true); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(15*time.Second, site.Hosts...); err != nil {
		return nil, err
	}
	time.Sleep(contact)

	host := site.Hosts[0]
	const clients = 4
	var kept []*keptConnection
	for range clients {
		c, err := dialKept(rec, host)
		if err != nil {
			return nil, err
		}
		defer c.conn.Close()
		if status, err := c.ask("/plain/short/1", randomID(), 2000); err != nil || status != http.StatusOK {
			return nil, fmt.Errorf("first request: %d, %w", status, err)
		}
		kept = append(kept, c)
	}
	if trouble {
		host.signal(syscall.SIGTERM)
	}
	stopped := time.Now()
	time.Sleep(time.Until(stopped.Add(sentAfter)))
	results := make(chan string, clients)
	for _, c := range kept {
		go func() {
			id := randomID()
			sent := time.Now()
			status, err := c.ask("/plain/long/1", id, 6000)
			rec.logf("client: request %s, sent %v after the SIGTERM: status %d, error %v, after %v", id, sent.Sub(stopped).Round(time.Millisecond), status, err, time.Since(sent).Round(time.Millisecond))
			runs := rec.of(id)
			if err != nil && len(runs) > 0 {
				results <- fmt.Sprintf("LOST: request %s, sent %v after the SIGTERM, was passed on to %s, which worked on it; its connection ended without an answer %v after the SIGTERM",
					id, sent.Sub(stopped).Round(time.Millisecond), runs[0].server, time.Since(stopped).Round(time.Millisecond))
				return
			}
			results <- ""
		}()
	}
	var broken []string
	for range clients {
		if text := <-results; text != "" {
			broken = append(broken, text)
		}
	}
	if trouble {
		host.awaitExit(grace)
	}
	return broken, nil
}

// keptConnection is a client's connection that is used for several requests.
type keptConnection struct {
	conn   net.Conn
	reader *bufio.Reader
	rec    *Record
}

func dialKept(rec *Record, h *Host) (*keptConnection, error) {
	conn, err := net.DialTimeout("tcp", h.front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConnection{conn, bufio.NewReader(conn), rec}, nil
}

// ask sends a request and reads the whole answer.
func (c *keptConnection) ask(path, id string, deadlineMS int) (int, error) {
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(deadlineMS+500) * time.Millisecond))
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: 2\r\n\r\nhi", path, hostName, id, deadlineMS, apiKey)
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	body := make([]byte, response.ContentLength)
	for n := 0; n < len(body); {
		m, err := response.Body.Read(body[n:])
		if n += m; err != nil && n < len(body) {
			return response.StatusCode, err
		}
	}
	return response.StatusCode, nil
}
