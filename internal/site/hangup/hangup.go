// Package hangup delivers SIGHUP, the request to reload settings, and ignores it while
// the process starts. The default action of SIGHUP terminates a process, and a Go
// program can handle signals only once its runtime has started.
package hangup

// The dynamic loader calls the constructor before the Go runtime starts. The runtime
// leaves an ignored SIGHUP ignored until signal.Notify is called for it.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"

import (
	"os"
	"os/signal"
	"syscall"
)

// Notify returns a channel that receives SIGHUP. Signals that arrive while one is
// pending are coalesced with it.
func Notify() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}
