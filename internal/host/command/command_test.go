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

// TestScripts runs each script with its own simulated platform at $PLATFORM and two
// simulated hosts at $HOST1 and $HOST2. The hosts serve only /debug/burn and
// /debug/status, and report version 2 of the document as in force.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Cmds:                map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
		Setup:               setup,
	})
}

// exits is a script command that runs a program and checks its exit code:
// exits CODE PROGRAM ARGS.
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

// setup starts the simulated platform and hosts of a script.
func setup(env *testscript.Env) error {
	simulated := platform.New(platform.Settings{})
	if err := simulated.Start("127.0.0.1:0"); err != nil {
		return err
	}
	env.Defer(simulated.Close)
	env.Setenv("PLATFORM", simulated.URL())
	for i, name := range []string{"h1", "h2"} {
		host := httptest.NewServer(hostHandler(name))
		env.Defer(host.Close)
		env.Setenv("HOST"+strconv.Itoa(i+1), host.URL)
	}
	return nil
}

// hostHandler simulates a host with 6 good and 4 bad requests for one objective.
func hostHandler(name string) http.Handler {
	recorder := &burn.Recorder{}
	recorder.SetObjectives([]document.Objective{{Measure: document.Success, Target: 0.9}})
	recorder.Observe(time.Now(), burn.Event{Workspace: "planning", Measure: document.Success, Good: 6, Bad: 4})
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/burn", func(w http.ResponseWriter, _ *http.Request) {
		body, err := wire.Encode(recorder.Snapshot(time.Now(), name, 1))
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
