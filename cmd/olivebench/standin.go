package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"olivetiller/internal/settings"
	"olivetiller/standin/site"
)

// standinCmd runs the stand-ins of a deployment as one process until SIGTERM or SIGINT.
type standinCmd struct {
	Settings string `required:"" type:"path" help:"Settings file of the stand-ins, in INI format."`
	Print    bool   `help:"Print every setting and exit."`
	Config   bool   `help:"Print a configuration for the deployment as JSON and exit."`
}

// standinSettings holds the settings of the stand-ins.
type standinSettings struct {
	deployment string
	addresses  site.Addresses
	nodes      string
	listLag    time.Duration
	appends    float64
	retain     int
	seed       uint64
}

// table returns the settings with their sections, defaults and help texts.
func (s *standinSettings) table() settings.Table {
	return settings.Table{
		{Section: "standin", Key: "deployment", Default: "krautwerk", Help: "the deployment's shape: krautwerk or suva", Set: settings.Choice(&s.deployment, "krautwerk", "suva")},
		{Section: "standin", Key: "logAddress", Default: "127.0.0.1:7100", Help: "the IP number and port of the log service", Set: settings.Address(&s.addresses.Log)},
		{Section: "standin", Key: "instanceListAddress", Default: "127.0.0.1:7101", Help: "the IP number and port of the instance list", Set: settings.Address(&s.addresses.List)},
		{Section: "standin", Key: "weightStoreAddress", Default: "127.0.0.1:7102", Help: "the IP number and port of the weight store", Set: settings.Address(&s.addresses.Store)},
		{Section: "standin", Key: "enginePort", Default: "7200", Unit: "port", Help: "the first of the engines' ports on 127.0.0.1", Set: settings.Whole(&s.addresses.EnginePort, 0)},
		{Section: "standin", Key: "servicePort", Default: "7300", Unit: "port", Help: "the first of the plain services' ports on 127.0.0.1", Set: settings.Whole(&s.addresses.ServicePort, 0)},
		{Section: "standin", Key: "nodes", Help: "the nodes in the instance list as name=peerAddress=dataHall, separated by commas", Set: settings.Text(&s.nodes)},
		{Section: "standin", Key: "listLag", Default: "500ms", Unit: "duration", Help: "how far the instance list lags", Set: settings.Duration(&s.listLag, 0)},
		{Section: "standin", Key: "appendsPerSecond", Default: "300", Unit: "appends a second", Help: "what the log takes; 0 for no bound", Set: settings.Number(&s.appends)},
		{Section: "standin", Key: "retain", Default: "0", Unit: "records", Help: "how many records each stream keeps; 0 for all", Set: settings.Whole(&s.retain, 0)},
		{Section: "standin", Key: "seed", Default: "1", Help: "seeds the stand-ins' faults", Set: settings.Whole(&s.seed, 0)},
	}
}

// Run implements the command.
func (c *standinCmd) Run() error {
	var s standinSettings
	if err := s.table().Read(c.Settings); err != nil {
		return err
	}
	shape := site.Krautwerk()
	if s.deployment == "suva" {
		shape = site.Suva()
	}
	shape.ListLag, shape.AppendsPerSecond, shape.Retain, shape.Seed = s.listLag, s.appends, s.retain, s.seed
	if c.Print {
		return s.table().Print(os.Stdout)
	}
	if c.Config {
		return printConfig(shape)
	}
	st, err := site.Start(shape, s.addresses)
	if err != nil {
		return err
	}
	defer st.Close()
	if err := addNodes(st, s.nodes); err != nil {
		return err
	}
	fmt.Printf("ready: %s, log %s, instance list %s, %d engines, %d services\n",
		s.deployment, st.LogAddress, st.ListAddress, len(st.Engines), len(st.Services))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}

// addNodes adds the nodes of a comma-separated list of name=peerAddress=dataHall to the instance list.
func addNodes(st *site.Site, list string) error {
	if list == "" {
		return nil
	}
	for _, entry := range strings.Split(list, ",") {
		f := strings.Split(strings.TrimSpace(entry), "=")
		if len(f) != 3 {
			return fmt.Errorf("standin.nodes: %q does not have the form name=peerAddress=dataHall", entry)
		}
		st.AddNode(f[0], f[1], f[2])
	}
	return nil
}
