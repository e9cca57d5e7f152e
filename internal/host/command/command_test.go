package command_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hyssopwall/hyssopwall/internal/billing/burn"
	"github.com/hyssopwall/hyssopwall/internal/fleet/wire"
	"github.com/hyssopwall/hyssopwall/internal/host/command"
	"github.com/hyssopwall/hyssopwall/internal/site/document"
	"github.com/hyssopwall/hyssopwall/internal/standin/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"hyssopwall": func() {
			os.Exit(command.Run(context.Background(), os.Args[1:], command.Streams{Out: os.Stdout, Err: os.Stderr}))
		},
	})
}

// TestScripts runs each script with a platform of its own at $PLATFORM and two
// hosts at $HOST1 and $HOST2, which answer for their burn and their status
// only: both have version 2 of the document in force.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Cmds:                map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
		Setup:               setup,
	})
}

// exits runs a program and compares its exit code: exits CODE PROGRAM ARGS.
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE PROGRAM ARGS")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

func setup(env *testscript.Env) error {
	outside := platform.New(platform.Settings{})
	if err := outside.Start("127.0.0.1:0"); err != nil {
		return err
	}
	env.Defer(outside.Close)
	env.Setenv("PLATFORM", outside.URL())
	for i, name := range []string{"h1", "h2"} {
		host := httptest.NewServer(hostHandler(name))
		env.Defer(host.Close)
		env.Setenv("HOST"+strconv.Itoa(i+1), host.URL)
	}
	return nil
}

func hostHandler(name string) http.Handler {
	book := &burn.Recorder{}
	book.SetObjectives([]document.Objective{{Measure: document.Success, Target: 0.9}})
	book.Observe(time.Now(), burn.Event{Workspace: "planning", Measure: document.Success, Good: 6, Bad: 4})
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/burn", func(w http.ResponseWriter, _ *http.Request) {
		body, err := wire.Encode(book.Snapshot(time.Now(), name, 1))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(body)
	})
	mux.HandleFunc("/debug/status", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"host":"` + name + `","zone":"a","ready":true,"version":2}`))
	})
	return mux
}
