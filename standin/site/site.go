// Package site runs the stand-ins of a whole deployment on loopback: the log, the weight store, the
// instance list, the engines and the plain services. [Krautwerk] and [Suva] are the shapes of the
// two existing deployments. The bench, the demo and package internal/fleet start it.
package site

import (
	"fmt"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"olivetiller/standin/engine"
	"olivetiller/standin/instancelist"
	"olivetiller/standin/logservice"
	"olivetiller/standin/service"
	"olivetiller/standin/weightstore"
)

// Addresses are the host:port pairs on which the stand-ins listen; an empty one takes a free port.
type Addresses struct {
	Log, List, Store string
	// EnginePort is the port of the first engine; the others take the ports after it. 0 takes free
	// ports.
	EnginePort int
	// ServicePort is the port of the first service instance; the others take the ports after it. 0
	// takes free ports.
	ServicePort int
}

// Site holds the running stand-ins of a deployment.
type Site struct {
	Shape    Shape
	Log      *logservice.Log
	Store    *weightstore.Store
	List     *instancelist.List
	Engines  []*engine.Engine
	Services map[string][]*service.Service
	// LogAddress and ListAddress are the addresses of the log and of the instance list, which a
	// node's settings need.
	LogAddress, ListAddress string

	servers []*http.Server
}

// Start starts the stand-ins of a shape and lists its engines and services in the instance list.
// After an error, stand-ins that were started keep running.
func Start(shape Shape, a Addresses) (*Site, error) {
	s := &Site{Shape: shape, Services: make(map[string][]*service.Service)}
	s.Log = logservice.New(shape.Seed, shape.AppendsPerSecond, shape.Retain)
	s.Store = weightstore.New(shape.Seed+1, shape.LoadsPerSecond, int64(shape.LoadSlots), shape.StoreBytesPerSec)
	s.List = instancelist.New(shape.Seed+2, shape.ListLag)
	var err error
	if s.LogAddress, err = s.serve(a.Log, s.Log.Handler()); err != nil {
		return nil, err
	}
	if s.ListAddress, err = s.serve(a.List, s.List.Handler()); err != nil {
		return nil, err
	}
	store, err := s.serve(a.Store, s.Store.Handler())
	if err != nil {
		return nil, err
	}
	if err := s.startEngines(a, store); err != nil {
		return nil, err
	}
	return s, s.startServices(a)
}

func (s *Site) startEngines(a Addresses, store string) error {
	for i := range s.Shape.Engines + s.Shape.OtherEngines {
		e := engine.New(engine.Options{
			Instance: fmt.Sprintf("engine-%02d", i), Hall: s.Shape.Halls[i%len(s.Shape.Halls)],
			MemoryBytes: s.Shape.EngineMemory, Concurrency: s.Shape.Concurrency,
			ChecksFences: s.Shape.UnfencedEvery == 0 || i%s.Shape.UnfencedEvery != 0,
			FirstToken:   s.Shape.FirstToken, BetweenTokens: s.Shape.BetweenTokens,
			WeightStore: store, Seed: s.Shape.Seed + 10 + uint64(i),
		})
		address, err := s.serve(port(a.EnginePort, i), e.Handler())
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, e)
		s.List.Put(instancelist.Instance{
			ID: e.Instance, Kind: instancelist.KindEngine, Address: address, Hall: e.Hall, State: instancelist.Live,
		})
	}
	return nil
}

func (s *Site) startServices(a Addresses) error {
	next := 0
	for _, name := range s.Shape.Services {
		for _, hall := range s.Shape.Halls {
			svc := service.New(s.Shape.Seed+100+uint64(next), s.Shape.ServiceWork)
			address, err := s.serve(port(a.ServicePort, next), svc.Handler())
			if err != nil {
				return err
			}
			next++
			s.Services[name] = append(s.Services[name], svc)
			s.List.Put(instancelist.Instance{
				ID: name + "-" + hall, Kind: instancelist.KindService, Service: name, Address: address, Hall: hall, State: instancelist.Live,
			})
		}
	}
	return nil
}

func port(first, i int) string {
	if first == 0 {
		return ""
	}
	return fmt.Sprintf("127.0.0.1:%d", first+i)
}

func (s *Site) serve(address string, h http.Handler) (string, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", eris.Wrap(err, "listen for a stand-in; choose a free port")
	}
	srv := &http.Server{Handler: h}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

// AddNode adds a live node to the instance list.
func (s *Site) AddNode(name, address, hall string) {
	s.List.Put(instancelist.Instance{ID: name, Kind: instancelist.KindNode, Address: address, Hall: hall, State: instancelist.Live})
}

// Loads returns how many loads have completed on all engines.
func (s *Site) Loads() int {
	n := 0
	for _, e := range s.Engines {
		n += e.Loads()
	}
	return n
}

// Violations returns a message for each order that an engine refused because it exceeded its memory
// or lacked the adapter's base model.
func (s *Site) Violations() []string {
	var out []string
	for _, e := range s.Engines {
		out = append(out, e.Violations()...)
	}
	return out
}

// Runs returns how often a service's request with a key ran on all its instances.
func (s *Site) Runs(name, key string) int {
	n := 0
	for _, svc := range s.Services[name] {
		n += svc.Runs(key)
	}
	return n
}

// Close closes the servers of all stand-ins.
func (s *Site) Close() {
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}
