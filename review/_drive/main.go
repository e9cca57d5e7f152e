package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// longest is the longest time that a case may take.
const longest = 115 * time.Second

// cases are the cases by number. Each returns false if it couldn't run.
var cases = map[string]func(s *site, trouble bool) bool{"memory": memoryCase, "killed": killedCase, "many": manyCase, "taken-over": takenOverCase, "outage": outageCase}

func main() {
	name := flag.String("case", "", "the case")
	binary := flag.String("binary", "", "the host program")
	record := flag.String("record", "record.txt", "where to write what was seen")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "drive")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	s, err := newSite(*binary, dir, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	var once sync.Once
	end := func() {
		once.Do(func() {
			s.close()
			if os.Getenv("KEEP") == "" {
				_ = os.RemoveAll(dir)
			}
		})
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(longest):
		}
		end()
		os.Exit(2)
	}()
	ok := run(s, os.Getenv("TROUBLE") != "0")
	broken := s.broken
	end()
	switch {
	case !ok:
		fmt.Println("could not run")
		os.Exit(2)
	case len(broken) > 0:
		fmt.Println("broken:", broken[0], "and", len(broken)-1, "more")
		os.Exit(1)
	}
	fmt.Println("held")
}
