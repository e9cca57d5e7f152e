// Package flood plays crowds of hostile clients, and measures the memory that a process takes
// under them.
package flood

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Crowd is a number of clients that send what takes memory, and that open new connections when
// the host has closed theirs.
type Crowd struct {
	Members int
	Rounds  int // number of connections that each member opens one after the other
	// Scripts hold what members send on each connection; they play them in turn.
	Scripts [][]Step
}

// Step is a part of what a member sends on a connection.
type Step struct {
	Text   string // CONNECTION stands for the number of the connection, in a text that is not repeated
	Fields int    // number of fields of a head that follow the text, each with a name of its own
	Repeat int    // how often the text is repeated in one piece, zero for once
	Times  int    // number of pieces, zero for one
	Pause  int    // pause between two pieces, in milliseconds
}

const (
	// stayTime is how long a member stays on a connection before it opens another one.
	stayTime = time.Second
	// writePatience is how long a member waits for a host that doesn't read.
	writePatience = 5 * time.Second
)

// Play plays the crowd against an address, IP:port. When all members have played, it returns
// the function that closes their connections, which are open until then.
func (c Crowd) Play(address string) (leave func()) {
	conns := make([]net.Conn, c.Members*c.Rounds)
	var members sync.WaitGroup
	for number := range c.Members {
		members.Go(func() {
			for at := number * c.Rounds; at < (number+1)*c.Rounds; at++ {
				conns[at] = c.connect(address, at)
			}
		})
	}
	members.Wait()
	return func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
}

// connect opens a connection and sends a script over it. It stays there until the host closes
// the connection or answers, at most for stayTime. It returns nil if the connection is refused.
func (c Crowd) connect(address string, number int) net.Conn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil
	}
	c.send(conn, number)
	_ = conn.SetReadDeadline(time.Now().Add(stayTime))
	_, _ = conn.Read(make([]byte, 1)) // until the host closes it
	return conn
}

// send sends a script, until the host closes the connection.
func (c Crowd) send(conn net.Conn, number int) {
	for _, step := range c.Scripts[number%len(c.Scripts)] {
		piece := step.piece(number)
		for range max(1, step.Times) {
			_ = conn.SetWriteDeadline(time.Now().Add(writePatience))
			if _, err := conn.Write(piece); err != nil {
				return
			}
			time.Sleep(time.Duration(step.Pause) * time.Millisecond)
		}
	}
}

// pieces holds the repeated texts, which all members share.
var pieces sync.Map

// piece returns one piece of a step.
func (s Step) piece(number int) []byte {
	if s.Repeat <= 1 {
		text := []byte(strings.ReplaceAll(s.Text, "CONNECTION", strconv.Itoa(number)))
		for field := range s.Fields {
			text = fmt.Appendf(text, "f%x:\r\n", field)
		}
		return text
	}
	shared, ok := pieces.Load(s)
	if !ok {
		shared, _ = pieces.LoadOrStore(s, bytes.Repeat([]byte(s.Text), s.Repeat))
	}
	piece, _ := shared.([]byte)
	return piece
}

// sampleInterval is the interval of samples of the memory.
const sampleInterval = 5 * time.Millisecond

// Peak is the largest memory of a process that was sampled, in bytes: what is resident and, as
// the users' platform counts it, what has arrived and was not read yet.
type Peak struct {
	Resident, Unread int64
}

// Total returns the whole memory.
func (p Peak) Total() int64 { return p.Resident + p.Unread }

// Watch samples the memory of a process that listens at the given IP, until the function that it
// returns is called, which returns the peak.
func Watch(pid int, ip string) (stop func() Peak) {
	ended, result := make(chan struct{}), make(chan Peak)
	go func() {
		var peak Peak
		for {
			select {
			case <-ended:
				result <- peak
				return
			case <-time.After(sampleInterval):
				if now := (Peak{residentBytes(pid), unreadBytes(ip)}); now.Total() > peak.Total() {
					peak = now
				}
			}
		}
	}()
	return func() Peak {
		close(ended)
		return <-result
	}
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// unreadBytes returns the number of bytes that have arrived at an IP and were not read yet.
func unreadBytes(ip string) int64 {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	four := net.ParseIP(ip).To4()
	local, sum := fmt.Sprintf("%02X%02X%02X%02X:", four[3], four[2], four[1], four[0]), int64(0)
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == "0A" { // that of a listener counts connections
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(unread, 16, 64)
		if err == nil {
			sum += n
		}
	}
	return sum
}
