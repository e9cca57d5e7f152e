package command

import (
	"fmt"
	"strings"
	"time"

	"github.com/hyssopwall/hyssopwall/internal/platform/hostlist"
	"github.com/hyssopwall/hyssopwall/internal/platform/supply"
	"github.com/hyssopwall/hyssopwall/internal/standin/engine"
	"github.com/hyssopwall/hyssopwall/internal/standin/fault"
	"github.com/hyssopwall/hyssopwall/internal/standin/platform"
	"github.com/hyssopwall/hyssopwall/internal/standin/scorer"
	"github.com/hyssopwall/hyssopwall/internal/standin/service"
	"github.com/hyssopwall/hyssopwall/internal/standin/supplier"
)

// listenFlags holds the flags of all stand-ins that listen.
type listenFlags struct {
	Address string   `default:"127.0.0.1:0" help:"Address to listen on, IP:port."`
	Fault   []string `help:"Fault as STEP:KIND[:COUNT[:DELAY]]; may be repeated." placeholder:"FAULT"`
}

// parseFaults parses the fault flags. Each fault must be in the catalog.
func (f listenFlags) parseFaults(catalog fault.Catalog) (*fault.Script, error) {
	script := &fault.Script{}
	for _, text := range f.Fault {
		rule, err := fault.Parse(text)
		if err != nil {
			return nil, &UsageError{"fault", err}
		}
		if err := catalog.Check(rule); err != nil {
			return nil, &UsageError{"fault", err}
		}
		script.Add(rule)
	}
	return script, nil
}

// server is implemented by the stand-ins that listen.
type server interface {
	Start(address string) error
	URL() string
	Close()
}

// serve runs a stand-in and prints its URL, until the context ends.
func serve(env environment, name, address string, running server) error {
	if err := running.Start(address); err != nil {
		return err
	}
	defer running.Close()
	_, _ = fmt.Fprintf(env.out, "%s listens at %s\n", name, running.URL())
	<-env.ctx.Done()
	return nil
}

// publishFlags holds the flags of the weight store.
type publishFlags struct {
	Downloads float64       `default:"4" help:"Downloads of weights a second."`
	Bytes     uint64        `default:"262144" help:"Size of a set of weights."`
	Model     []string      `help:"Model to release; may be repeated."`
	Every     time.Duration `default:"5m" help:"Time between two releases."`
}

// publish releases new weights of all models now and at each interval, until the context
// ends.
func (f publishFlags) publish(env environment, store *platform.Platform) {
	ticker := time.NewTicker(f.Every)
	defer ticker.Stop()
	for {
		for _, model := range f.Model {
			store.Publish(model)
		}
		select {
		case <-ticker.C:
		case <-env.ctx.Done():
			return
		}
	}
}

// weightsCommand runs the platform with only the flags of the weight store, and the
// defaults for all others.
type weightsCommand struct {
	listenFlags
	publishFlags
}

// Run runs the weight store until the context ends.
func (c *weightsCommand) Run(env environment) error {
	return (&platformCommand{listenFlags: c.listenFlags, publishFlags: c.publishFlags}).Run(env)
}

// platformCommand runs the platform stand-in.
type platformCommand struct {
	listenFlags
	publishFlags
	Reads   float64       `default:"2000" help:"Reads a second."`
	Writes  float64       `default:"500" help:"Writes a second."`
	HostLag time.Duration `help:"Age of the host list."`
	Host    []string      `help:"Entry host as NAME,ZONE,IP:PORT; may be repeated." sep:"none"`
	Server  []string      `help:"Running backend server as NAME,ZONE,POOL,CLASS,IP:PORT; may be repeated." sep:"none"`
	Pool    []string      `help:"Pool that can be ordered, as NAME,engine,MODEL or NAME,service; may be repeated." sep:"none"`
}

// Run runs the platform until the context ends. It fails if the platform received a usage
// report that breaks a rule, or accepted an order of an old epoch.
func (c *platformCommand) Run(env environment) error {
	script, err := c.parseFaults(platform.Catalog())
	if err != nil {
		return err
	}
	if c.Every <= 0 {
		return &UsageError{"every", fmt.Errorf("%s is no period", c.Every)}
	}
	pools, err := c.pools()
	if err != nil {
		return err
	}
	servers := &supplier.Supplier{Pools: pools}
	defer servers.Close()
	store := platform.New(platform.Settings{
		Reads:     c.Reads,
		Writes:    c.Writes,
		Downloads: c.Downloads,
		Bytes:     c.Bytes,
		HostLag:   c.HostLag,
		Starter:   servers,
		Faults:    script,
	})
	if err := c.addRunning(store); err != nil {
		return err
	}
	go c.publish(env, store)
	if err := serve(env, "platform", c.Address, store); err != nil {
		return err
	}
	return checkPlatform(env, store)
}

// checkPlatform prints the rules that usage reports broke. It returns a
// *ChecksFailedError if there were any, or if orders of an old epoch were accepted.
func checkPlatform(env environment, store *platform.Platform) error {
	broken := store.ReportViolations()
	for _, reason := range broken {
		_, _ = fmt.Fprintln(env.out, reason)
	}
	count := len(broken) + store.StaleOrders()
	if count > 0 {
		return &ChecksFailedError{count}
	}
	return nil
}

// pools parses the pool flags.
func (c *platformCommand) pools() (map[string]supplier.Pool, error) {
	pools := make(map[string]supplier.Pool, len(c.Pool))
	for _, text := range c.Pool {
		parts := strings.Split(text, ",")
		switch {
		case len(parts) == 3 && parts[1] == "engine":
			pools[parts[0]] = supplier.Pool{Engine: &engine.Settings{Model: parts[2], Version: 1}}
		case len(parts) == 2 && parts[1] == "service":
			pools[parts[0]] = supplier.Pool{Service: &service.Settings{}}
		default:
			return nil, &UsageError{"pool", fmt.Errorf("%q is not NAME,engine,MODEL or NAME,service", text)}
		}
	}
	return pools, nil
}

// addRunning adds the hosts and the running backend servers given by flags to the
// platform.
func (c *platformCommand) addRunning(store *platform.Platform) error {
	for _, text := range c.Host {
		parts := strings.Split(text, ",")
		if len(parts) != 3 {
			return &UsageError{"host", fmt.Errorf("%q is not NAME,ZONE,IP:PORT", text)}
		}
		store.SetHost(hostlist.Host{Name: parts[0], Zone: parts[1], Address: parts[2]})
	}
	for _, text := range c.Server {
		parts := strings.Split(text, ",")
		if len(parts) != 5 {
			return &UsageError{"server", fmt.Errorf("%q is not NAME,ZONE,POOL,CLASS,IP:PORT", text)}
		}
		store.AddServer(supply.Server{
			Name:    parts[0],
			Zone:    parts[1],
			Pool:    parts[2],
			Class:   supply.Class(parts[3]),
			Address: parts[4],
		})
	}
	return nil
}

// engineCommand runs an engine.
type engineCommand struct {
	listenFlags
	Name          string        `default:"engine" help:"Name in the state."`
	Model         string        `required:"" help:"Model to serve."`
	Version       uint64        `default:"1" help:"Version of the weights at each start; 0 for none."`
	Slots         int           `default:"8" help:"Generations at once."`
	Waiting       int           `default:"64" help:"Generations that wait at most."`
	Step          time.Duration `default:"2ms" help:"Time of a step of the batch."`
	Burst         int           `default:"4" help:"Tokens of a generation per step."`
	Cache         int           `default:"1024" help:"Prefix blocks that fit."`
	KeepCache     bool          `help:"Keep cached blocks when weights change."`
	LoadTime      time.Duration `default:"500ms" help:"Time to put weights in force."`
	LoadLag       time.Duration `default:"250ms" help:"Greatest age of the load figures."`
	CacheLag      time.Duration `default:"200ms" help:"Age at which cache events are published."`
	Weights       string        `help:"URL of the weight store; empty to load without one."`
	IgnoreFencing bool          `help:"Accept commands of an old epoch."`
	Poison        string        `help:"A prompt with this text crashes the engine."`
	Restart       time.Duration `default:"2s" help:"Time from a crash to the next start; 0 for never."`
}

// Run runs the engine until the context ends.
func (c *engineCommand) Run(env environment) error {
	script, err := c.parseFaults(engine.Catalog())
	if err != nil {
		return err
	}
	return serve(env, "engine", c.Address, engine.New(engine.Settings{
		Name:          c.Name,
		Model:         c.Model,
		Version:       c.Version,
		Slots:         c.Slots,
		Waiting:       c.Waiting,
		Step:          c.Step,
		Burst:         c.Burst,
		Cache:         c.Cache,
		KeepCache:     c.KeepCache,
		LoadTime:      c.LoadTime,
		LoadLag:       c.LoadLag,
		CacheLag:      c.CacheLag,
		Weights:       c.Weights,
		IgnoreFencing: c.IgnoreFencing,
		Poison:        c.Poison,
		Restart:       c.Restart,
		Faults:        script,
	}))
}

// serviceCommand runs a plain service.
type serviceCommand struct {
	listenFlags
	Slots   int           `help:"Calls at once; 0 for no bound."`
	Poison  string        `help:"A body with this text crashes the service."`
	Restart time.Duration `default:"2s" help:"Time from a crash to the next start; 0 for never."`
}

// Run runs the service until the context ends. It fails if a call was executed more than
// once; service.Service.Executions says which requests count as the same call.
func (c *serviceCommand) Run(env environment) error {
	script, err := c.parseFaults(service.Catalog())
	if err != nil {
		return err
	}
	running := service.New(service.Settings{Slots: c.Slots, Poison: c.Poison, Restart: c.Restart, Faults: script})
	if err := serve(env, "service", c.Address, running); err != nil {
		return err
	}
	if duplicates := running.Duplicates(); len(duplicates) > 0 {
		return &ChecksFailedError{len(duplicates)}
	}
	return nil
}

// scorerCommand runs a scoring service.
type scorerCommand struct {
	listenFlags
	Slots int `help:"Calls at once; 0 for no bound."`
}

// Run runs the scoring service until the context ends.
func (c *scorerCommand) Run(env environment) error {
	script, err := c.parseFaults(service.Catalog())
	if err != nil {
		return err
	}
	return serve(env, "scorer", c.Address, scorer.New(scorer.Settings{Slots: c.Slots, Faults: script}))
}
