package bench

import (
	"context"
	"syscall"
	"time"

	"olivetiller/internal/control"
	"olivetiller/internal/entry"
)

// realNodes is the setting of slopes measured on in-process nodes, as in Slope.How.
const realNodes = "real nodes in one process over loopback sockets, idle after start"

// fleetSample holds what one idle fleet used, per second and, unless stated otherwise, per node.
type fleetSample struct {
	nodes float64
	// wireBytes is the mean of the traffic between nodes, wirePeak that of the busiest node, msgs the
	// number of requests to other nodes.
	wireBytes, wirePeak, msgs float64
	cpuShare                  float64
	heapBytes                 float64
	// appends counts the log appends of all nodes.
	appends float64
}

// fleetSlopes measures idle fleets of several sizes and fits a line to each quantity.
func (s Slopes) fleetSlopes(ctx context.Context) ([]*Slope, error) {
	samples := make([]fleetSample, 0, len(s.FleetSizes))
	for _, n := range s.FleetSizes {
		sample, err := s.measureFleet(ctx, n)
		if err != nil {
			return nil, err
		}
		samples = append(samples, sample)
	}
	line := func(name, unit string, y func(fleetSample) float64) *Slope {
		sl := &Slope{Name: name, XUnit: "nodes", YUnit: unit, How: realNodes}
		for _, f := range samples {
			sl.Points = append(sl.Points, Point{X: f.nodes, Y: y(f)})
		}
		sl.fit()
		return sl
	}
	return []*Slope{
		line("idlePeerBytes", "bytes a second a node, QUIC's own included, mean", func(f fleetSample) float64 { return f.wireBytes }),
		line("idlePeerBytesPeak", "bytes a second of the busiest node", func(f fleetSample) float64 { return f.wirePeak }),
		line("idlePeerMessages", "requests a second a node", func(f fleetSample) float64 { return f.msgs }),
		line("idleCPU", "share of a core a node, stand-ins and all included", func(f fleetSample) float64 { return f.cpuShare }),
		line("nodeHeap", "bytes of heap a node", func(f fleetSample) float64 { return f.heapBytes }),
		line("idleAppends", "appends a second, all nodes", func(f fleetSample) float64 { return f.appends }),
	}, nil
}

// measureFleet starts n nodes, lets them settle for s.Settle, and then measures them for as long.
func (s Slopes) measureFleet(ctx context.Context, n int) (fleetSample, error) {
	before := heapInUse()
	f, err := Setup{Deployment: "krautwerk", Nodes: n, Seed: 1, Verbose: s.Verbose}.start(ctx)
	if err != nil {
		return fleetSample{}, err
	}
	defer f.Close()
	sleep(ctx, s.Settle)
	nodes := f.Nodes()
	start := peerTraffic(nodes)
	cpu, appends := cpuTime(), f.Site.Log.Appends(control.ControlStream)
	begin := time.Now()
	sleep(ctx, s.Settle)
	seconds := time.Since(begin).Seconds()
	end := peerTraffic(nodes)
	count := float64(len(nodes))
	sample := fleetSample{
		nodes:    count,
		cpuShare: (cpuTime() - cpu).Seconds() / seconds / count,
		appends:  float64(f.Site.Log.Appends(control.ControlStream)-appends) / seconds,
	}
	for i := range end {
		wire := float64(end[i].WireSent-start[i].WireSent+end[i].WireReceived-start[i].WireReceived) / seconds
		// A connection is counted only at the node that opened it. The bytes sent and received
		// there are received and sent at the other end, so both ends together use twice as much.
		sample.wireBytes += 2 * wire / count
		sample.wirePeak = max(sample.wirePeak, 2*wire)
		sample.msgs += float64(end[i].Messages-start[i].Messages) / seconds / count
	}
	sample.heapBytes = (heapInUse() - before) / count
	return sample, nil
}

// peerTraffic returns the traffic counters of each node.
func peerTraffic(nodes []*entry.Node) []entry.PeerTraffic {
	out := make([]entry.PeerTraffic, len(nodes))
	for i, n := range nodes {
		out[i] = n.PeerTraffic()
	}
	return out
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
