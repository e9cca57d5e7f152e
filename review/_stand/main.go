// Command stand plays the cases of the review: it starts the project's entry hosts as
// processes, beside stand-ins for the platform, the backend servers and the clients.
//
//	stand CASE RECORD
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

// trouble reports whether the disruption is to be played.
var trouble = os.Getenv("TROUBLE") != "0"

// cases are the scenarios by name. Each returns what broke the rule, nil for nothing.
var cases = map[string]func(*Record) ([]string, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(118*time.Second, func() {
		rec.logf("the case did not end in time")
		os.Exit(2) // the processes end with this one
	})
	rec.logf("case %s, trouble: %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec)
	switch {
	case err != nil:
		rec.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case len(broken) > 0:
		for _, text := range broken {
			rec.logf("BROKEN: %s", text)
			fmt.Println("BROKEN:", text)
		}
		os.Exit(1)
	}
	rec.logf("the rule held")
	fmt.Println("the rule held")
}

// listen serves a handler on a free loopback port and returns the address.
func listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback(251)+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String(), nil
}
