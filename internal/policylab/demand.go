package policylab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Arrival is one request for a unit.
type Arrival struct {
	// At is the time from the start of the run.
	At   time.Duration
	Unit string
	// Serve is how long the request runs on a replica.
	Serve time.Duration
}

// Unit is a model or an adapter of the synthetic catalogue.
type Unit struct {
	Name string
	// Base is the base model of an adapter, empty for a model.
	Base string
	// Bytes is the size of the weights.
	Bytes uint64
	// class decides how the demand is spread over the day.
	class class
	// sessionsPerDay is the mean number of sessions a day.
	sessionsPerDay float64
	// firstDay is the first day on which the unit exists, counted from 0.
	firstDay int
	// hourShift moves the unit's hours of use, in hours, as for users in another time zone.
	hourShift float64
}

// class is a shape of demand over the day.
type class int

const (
	// office units follow the working day.
	office class = iota
	// batch units run once a night.
	batch
	// window units run in two narrow windows on weekdays.
	window
	// rare units are used occasionally, at any hour.
	rare
)

// Workload is a catalogue with its demand, in order of arrival.
type Workload struct {
	Units    []Unit
	Arrivals []Arrival
	Days     int
}

// Sizes of the synthetic catalogues and sessions.
const (
	gib               = 1 << 30
	models            = 50
	sessionRequests   = 6
	maxSessionsPerDay = 40
	serveMean         = 8 * time.Second
)

// Krautwerk generates the demand of studios and museums: studios in several time zones work during
// the day on weekdays, a quarter of the models run as nightly batches of museums, and another
// quarter is used seldom, so that the demand has a long tail.
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

// Suva generates the demand of councils: narrow print windows on weekdays, office hours, occasional
// jobs, and an election on which a third of the models is requested at once.
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

// generate makes the catalogue of models and adapters and draws its sessions. classOf gives the class of the
// i-th model; an adapter has the class, first day and hours of its base model.
func generate(days int, seed uint64, adapters int, classOf func(int) class) *Workload {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &Workload{Days: days}
	for i := range models {
		w.Units = append(w.Units, Unit{
			Name: fmt.Sprintf("model-%02d", i), Bytes: uint64((10 + 50*rng.Float64()) * gib),
			class: classOf(i), sessionsPerDay: max(0.3, maxSessionsPerDay/float64(i+1)), firstDay: drawFirstDay(rng, days), hourShift: float64(rng.IntN(3)) * 2,
		})
	}
	for i := range adapters {
		base := w.Units[i%models]
		w.Units = append(w.Units, Unit{
			Name: fmt.Sprintf("adapter-%02d", i), Base: base.Name, Bytes: gib / 2,
			class: base.class, sessionsPerDay: max(0.2, maxSessionsPerDay/4/float64(i+1)), firstDay: base.firstDay, hourShift: base.hourShift,
		})
	}
	for i := range w.Units {
		w.sessions(rng, &w.Units[i])
	}
	w.sort()
	return w
}

// drawFirstDay returns the first day of a unit: the middle of the run for one in ten units,
// otherwise 0.
func drawFirstDay(rng *rand.Rand, days int) int {
	if rng.IntN(10) == 0 {
		return days / 2
	}
	return 0
}

func (w *Workload) sort() {
	sort.SliceStable(w.Arrivals, func(i, j int) bool { return w.Arrivals[i].At < w.Arrivals[j].At })
}

// sessions adds all sessions of a unit.
func (w *Workload) sessions(rng *rand.Rand, u *Unit) {
	for day := u.firstDay; day < w.Days; day++ {
		weekday := day%7 < 5
		switch u.class {
		case batch:
			w.session(rng, u, day, 21+2*rng.Float64(), 60)
		case window:
			if weekday {
				w.session(rng, u, day, 9+u.hourShift/4+0.3*rng.Float64(), 10)
				w.session(rng, u, day, 14+u.hourShift/4+0.3*rng.Float64(), 10)
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

// officeHours returns the relative rate of sessions at an hour of the day, with peaks at 10:00 and
// 14:30.
func officeHours(hour float64) float64 {
	peak := func(at, width float64) float64 { return math.Exp(-(hour - at) * (hour - at) / (2 * width * width)) }
	return (peak(10, 1.5) + 0.8*peak(14.5, 1.5)) / 2.7
}

// allHours returns a rate that is the same at every hour.
func allHours(float64) float64 { return 1.0 / 24 * 2 }

// poisson adds the sessions of one day as a Poisson process whose rate follows shape.
func (w *Workload) poisson(rng *rand.Rand, u *Unit, day int, shape func(float64) float64) {
	for hour := range 24 {
		mean := u.sessionsPerDay * shape(math.Mod(float64(hour)-u.hourShift+24, 24)) / 2
		for t := rng.ExpFloat64() / max(mean, 1e-9); t < 1; t += rng.ExpFloat64() / mean {
			w.session(rng, u, day, float64(hour)+t, sessionRequests)
		}
	}
}

// session adds a burst of requests that begins at the given hour of a day; mean is the mean number
// of requests after the first.
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

// election adds a session of a third of the models within a quarter of an hour on the middle day.
func (w *Workload) election(rng *rand.Rand) {
	for i := 0; i < models; i += 3 {
		w.session(rng, &w.Units[i], w.Days/2, 10+rng.Float64()/4, 20)
	}
	w.sort()
}
