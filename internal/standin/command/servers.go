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

// listening holds the flags of every stand-in that listens.
type listening struct {
	Address string   `default:"127.0.0.1:0" help:"Address to listen on, IP:port."`
	Fault   []string `help:"Fault as STEP:KIND[:COUNT[:DELAY]]; may be repeated." placeholder:"FAULT"`
}

// script reads the faults, which the stand-in must be able to bring about.
func (l listening) script(catalog fault.Catalog) (*fault.Script, error) {
	script := &fault.Script{}
	for _, text := range l.Fault {
		rule, err := fault.Parse(text)
		if err != nil {
			return nil, &UseError{"fault", err}
		}
		if err := catalog.Check(rule); err != nil {
			return nil, &UseError{"fault", err}
		}
		script.Add(rule)
	}
	return script, nil
}

// server is a stand-in that listens.
type server interface {
	Start(address string) error
	URL() string
	Close()
}

// serve runs a stand-in until the context ends.
func serve(env environment, name, address string, running server) error {
	if err := running.Start(address); err != nil {
		return err
	}
	defer running.Close()
	_, _ = fmt.Fprintf(env.out, "%s listens at %s\n", name, running.URL())
	<-env.ctx.Done()
	return nil
}

// publishing holds the flags of the weight store.
type publishing struct {
	Downloads float64       `default:"4" help:"Downloads of weights a second."`
	Bytes     uint64        `default:"262144" help:"Size of a set of weights."`
	Model     []string      `help:"Model to release; may be repeated."`
	Every     time.Duration `default:"5m" help:"Time between two releases."`
}

// publish releases the models now and again until the context ends.
func (p publishing) publish(env environment, store *platform.Platform) {
	ticker := time.NewTicker(p.Every)
	defer ticker.Stop()
	for {
		for _, model := range p.Model {
			store.Publish(model)
		}
		select {
		case <-ticker.C:
		case <-env.ctx.Done():
			return
		}
	}
}

type weightsCommand struct {
	listening
	publishing
}

func (c *weightsCommand) Run(env environment) error {
	return (&platformCommand{listening: c.listening, publishing: c.publishing}).Run(env)
}

type platformCommand struct {
	listening
	publishing
	Reads   float64       `default:"2000" help:"Reads a second."`
	Writes  float64       `default:"500" help:"Writes a second."`
	HostLag time.Duration `help:"Age of the host list."`
	Host    []string      `help:"Entry host as NAME,ZONE,IP:PORT; may be repeated." sep:"none"`
	Server  []string      `help:"Running backend server as NAME,ZONE,POOL,CLASS,IP:PORT; may be repeated." sep:"none"`
	Pool    []string      `help:"Pool that can be ordered, as NAME,engine,MODEL or NAME,service; may be repeated." sep:"none"`
}

func (c *platformCommand) Run(env environment) error {
	script, err := c.script(platform.Catalog())
	if err != nil {
		return err
	}
	if c.Every <= 0 {
		return &UseError{"every", fmt.Errorf("%s is no period", c.Every)}
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
	if err := c.fill(store); err != nil {
		return err
	}
	go c.publish(env, store)
	if err := serve(env, "platform", c.Address, store); err != nil {
		return err
	}
	return verdict(env, store)
}

// verdict prints the promises that the platform saw broken.
func verdict(env environment, store *platform.Platform) error {
	broken := store.ReportViolations()
	for _, reason := range broken {
		_, _ = fmt.Fprintln(env.out, reason)
	}
	count := len(broken) + store.StaleOrders()
	if count > 0 {
		return &BrokenError{count}
	}
	return nil
}

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
			return nil, &UseError{"pool", fmt.Errorf("%q is not NAME,engine,MODEL or NAME,service", text)}
		}
	}
	return pools, nil
}

// fill enters the hosts and servers that run already.
func (c *platformCommand) fill(store *platform.Platform) error {
	for _, text := range c.Host {
		parts := strings.Split(text, ",")
		if len(parts) != 3 {
			return &UseError{"host", fmt.Errorf("%q is not NAME,ZONE,IP:PORT", text)}
		}
		store.SetHost(hostlist.Host{Name: parts[0], Zone: parts[1], Address: parts[2]})
	}
	for _, text := range c.Server {
		parts := strings.Split(text, ",")
		if len(parts) != 5 {
			return &UseError{"server", fmt.Errorf("%q is not NAME,ZONE,POOL,CLASS,IP:PORT", text)}
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

type engineCommand struct {
	listening
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

func (c *engineCommand) Run(env environment) error {
	script, err := c.script(engine.Catalog())
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

type serviceCommand struct {
	listening
	Slots   int           `help:"Calls at once; 0 for no bound."`
	Poison  string        `help:"A body with this text crashes the service."`
	Restart time.Duration `default:"2s" help:"Time from a crash to the next start; 0 for never."`
}

func (c *serviceCommand) Run(env environment) error {
	script, err := c.script(service.Catalog())
	if err != nil {
		return err
	}
	running := service.New(service.Settings{Slots: c.Slots, Poison: c.Poison, Restart: c.Restart, Faults: script})
	if err := serve(env, "service", c.Address, running); err != nil {
		return err
	}
	if doubled := running.Doubled(); len(doubled) > 0 {
		return &BrokenError{len(doubled)}
	}
	return nil
}

type scorerCommand struct {
	listening
	Slots int `help:"Calls at once; 0 for no bound."`
}

func (c *scorerCommand) Run(env environment) error {
	script, err := c.script(service.Catalog())
	if err != nil {
		return err
	}
	return serve(env, "scorer", c.Address, scorer.New(scorer.Settings{Slots: c.Slots, Faults: script}))
}
