package policylab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Arrival is one request.
type Arrival struct {
	At   time.Duration
	Unit string
	// Serve is how long it runs.
	Serve time.Duration
}

// Unit is a unit of the synthetic catalogue.
type Unit struct {
	Name  string
	Base  string
	Bytes uint64
	// class decides the shape of its demand.
	class class
	// perDay is the mean number of sessions a day.
	perDay float64
	// from is the day on which it first exists.
	from int
	// phase shifts its hours, as studios in other time zones do.
	phase float64
}

type class int

const (
	// office units follow the working day.
	office class = iota
	// batch units run once a night.
	batch
	// window units run in two narrow windows on weekdays.
	window
	// rare units are used now and then, at any hour.
	rare
)

// Workload is a catalogue with its demand.
type Workload struct {
	Units    []Unit
	Arrivals []Arrival
	Days     int
}

// Sizes of the synthetic catalogues.
const (
	gib           = 1 << 30
	models        = 50
	sessionEvents = 6
	maxPerDay     = 40
	serveMean     = 8 * time.Second
)

// Krautwerk makes the demand of specimen studios and museums: working days that
// follow the sun over franchise studios, a quarter of the models as nightly
// batches of museums, a long tail.
func Krautwerk(days int, seed uint64) *Workload {
	return generate(days, seed, 60, func(i int) class {
		switch {
		case i%4 == 1:
			return batch
		case i%4 == 3:
			return rare
		}
		return office
	})
}

// Suva makes the demand of councils: narrow print windows on weekdays, counter
// hours, rare jobs, and an election that wakes a third of the models at once.
func Suva(days int, seed uint64) *Workload {
	w := generate(days, seed, 55, func(i int) class {
		switch {
		case i%5 < 2:
			return rare
		case i%5 == 2:
			return office
		}
		return window
	})
	w.election(rand.New(rand.NewPCG(seed, 99)))
	return w
}

func generate(days int, seed uint64, adapters int, classOf func(int) class) *Workload {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &Workload{Days: days}
	for i := range models {
		w.Units = append(w.Units, Unit{
			Name: fmt.Sprintf("model-%02d", i), Bytes: uint64((10 + 50*rng.Float64()) * gib),
			class: classOf(i), perDay: max(0.3, maxPerDay/float64(i+1)), from: newAfter(rng, days), phase: float64(rng.IntN(3)) * 2,
		})
	}
	for i := range adapters {
		base := w.Units[i%models]
		w.Units = append(w.Units, Unit{
			Name: fmt.Sprintf("adapter-%02d", i), Base: base.Name, Bytes: gib / 2,
			class: base.class, perDay: max(0.2, maxPerDay/4/float64(i+1)), from: base.from, phase: base.phase,
		})
	}
	for i := range w.Units {
		w.sessions(rng, &w.Units[i])
	}
	w.sort()
	return w
}

// newAfter makes one unit in ten appear in the middle of the run.
func newAfter(rng *rand.Rand, days int) int {
	if rng.IntN(10) == 0 {
		return days / 2
	}
	return 0
}

func (w *Workload) sort() {
	sort.SliceStable(w.Arrivals, func(i, j int) bool { return w.Arrivals[i].At < w.Arrivals[j].At })
}

// sessions adds a unit's demand.
func (w *Workload) sessions(rng *rand.Rand, u *Unit) {
	for day := u.from; day < w.Days; day++ {
		weekday := day%7 < 5
		switch u.class {
		case batch:
			w.session(rng, u, day, 21+2*rng.Float64(), 60)
		case window:
			if weekday {
				w.session(rng, u, day, 9+u.phase/4+0.3*rng.Float64(), 10)
				w.session(rng, u, day, 14+u.phase/4+0.3*rng.Float64(), 10)
			}
		case office:
			if weekday {
				w.poisson(rng, u, day, officeHours)
			}
		case rare:
			w.poisson(rng, u, day, allHours)
		}
	}
}

// officeHours is the share of a day's sessions by hour: two humps about noon.
func officeHours(hour float64) float64 {
	hump := func(at, width float64) float64 { return math.Exp(-(hour - at) * (hour - at) / (2 * width * width)) }
	return (hump(10, 1.5) + 0.8*hump(14.5, 1.5)) / 2.7
}

func allHours(float64) float64 { return 1.0 / 24 * 2 }

// poisson adds a day of sessions whose rate follows a shape.
func (w *Workload) poisson(rng *rand.Rand, u *Unit, day int, shape func(float64) float64) {
	for hour := range 24 {
		mean := u.perDay * shape(math.Mod(float64(hour)-u.phase+24, 24)) / 2
		for t := rng.ExpFloat64() / max(mean, 1e-9); t < 1; t += rng.ExpFloat64() / mean {
			w.session(rng, u, day, float64(hour)+t, sessionEvents)
		}
	}
}

// session adds a burst of requests that begins at an hour of a day.
func (w *Workload) session(rng *rand.Rand, u *Unit, day int, hour float64, mean int) {
	at := time.Duration((float64(day)*24 + hour) * float64(time.Hour))
	n := 1 + int(rng.ExpFloat64()*float64(mean))
	for range n {
		w.Arrivals = append(w.Arrivals, Arrival{
			At: at, Unit: u.Name, Serve: time.Duration(rng.ExpFloat64() * float64(serveMean)),
		})
		at += time.Duration(rng.ExpFloat64() * float64(10*time.Second))
	}
}

// election wakes a third of the models within a quarter of an hour, once.
func (w *Workload) election(rng *rand.Rand) {
	for i := 0; i < models; i += 3 {
		w.session(rng, &w.Units[i], w.Days/2, 10+rng.Float64()/4, 20)
	}
	w.sort()
}
