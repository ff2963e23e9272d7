// Command 2 is the driver of case 2: users leave their connections open, and machines are lost. See claim.txt.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"olivetiller/review/rig"
)

// Sizes and times of the case. The rate of requests, two of each user, is that of the whole site, and the times of a request
// are those of quote-snap.
const (
	nodes   = 3
	servers = 3
	// usersPerSecond come, and each sends requestsEach on one connection, nextAfter the answer to the one before.
	usersPerSecond = 45
	requestsEach   = 2
	nextAfter      = 2 * time.Second
	work           = 60 * time.Millisecond
	timeout        = 1500 * time.Millisecond
	deadline       = 3000 * time.Millisecond
	comeUp         = time.Second
	lossAt         = 5 * time.Second
	contact        = 3 * time.Second
	trafficFor     = 65 * time.Second
	readyWithin    = 20 * time.Second
	host           = "wuny96.example"
	backend        = "quote-api"
	overdue        = 500 * time.Millisecond
	minOverdue     = 8
	exitHeld       = 0
	exitBroken     = 1
	exitNoResult   = 2
)

// request is one client request and what its client saw.
type request struct {
	id       string
	node     string
	sent     time.Time
	answered time.Time
	status   int
	problem  string
}

func main() { os.Exit(play()) }

func play() int {
	r, err := rig.NewRecord(os.Getenv("RECORD"))
	if err != nil {
		fmt.Println(err)
		return exitNoResult
	}
	defer r.Close()
	site, err := rig.NewSite(r)
	if err != nil {
		r.Say("not run: %v", err)
		return exitNoResult
	}
	defer site.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.Say("trouble=%t nodes=%d users=%d a second for %v, %d requests each", trouble, nodes, usersPerSecond, trafficFor, requestsEach)
	site.Configure(rig.Config(1, backend, rig.Route{
		Name: "quote-snap", Host: host, Prefix: "/snap/", Type: "unsafe", TimeoutMs: 1500, TargetMs: 300, Priority: 2, Backend: backend, Attempts: 1,
	}))
	var services []*rig.Service
	for i := range servers {
		s, err := site.AddService(fmt.Sprintf("i-%d", i), backend, rig.Zones[i], i, work)
		if err != nil {
			r.Say("not run: %v", err)
			return exitNoResult
		}
		services = append(services, s)
	}
	for i := range nodes {
		if _, err := site.AddNode(i); err != nil {
			r.Say("not run: %v", err)
			return exitNoResult
		}
	}
	if err := site.AwaitReady(readyWithin); err != nil {
		r.Say("not run: %v", err)
		return exitNoResult
	}
	all := traffic(site, trouble)
	for _, s := range services {
		for _, run := range s.Runs() {
			r.Add("ran %s at %s", run.ID, s.ID)
		}
	}
	return judge(r, all, site)
}

// traffic lets the users come and returns their requests when all have ended.
func traffic(site *rig.Site, trouble bool) []*request {
	var wg sync.WaitGroup
	var users users
	defer users.close()
	start := rig.Clock.Now()
	lost := !trouble
	tick := rig.Clock.NewTicker(time.Second / usersPerSecond)
	defer tick.Stop()
	for i := 0; rig.Clock.Since(start) < trafficFor; i++ {
		<-tick.Chan()
		if !lost && rig.Clock.Since(start) >= lossAt {
			lost = true
			for _, n := range site.Nodes[1:] {
				site.Record.Say("machine %s is removed for good", n.Name)
				n.Remove()
			}
		}
		wg.Go(func() { users.come(site, i) })
	}
	wg.Wait()
	return users.requests
}

// come sends the requests of a user on a new connection, which stays open for a further one until the system closes it.
func (u *users) come(site *rig.Site, number int) {
	n := site.Pick(number)
	if n == nil {
		u.add(&request{id: fmt.Sprintf("%015x0", number), problem: "no node is in"}, nil)
		return
	}
	conn, err := net.DialTimeout("tcp", n.Front, comeUp)
	if err != nil {
		u.add(&request{id: fmt.Sprintf("%015x0", number), node: n.Name, problem: "no connection: " + err.Error()}, nil)
		return
	}
	answers := bufio.NewReader(conn)
	for i := range requestsEach {
		q := &request{id: fmt.Sprintf("%015x%x", number, i), node: n.Name}
		keep := q.run(conn, answers)
		u.add(q, conn)
		site.Record.Add("%s at %s: sent at %s, status %d after %v %s", q.id, q.node, q.sent.Format("05.000"), q.status, q.took(), q.problem)
		if !keep {
			_ = conn.Close()
			return
		}
		rig.Clock.Sleep(nextAfter)
	}
	go func() {
		// The system's close ends the read, and with it the connection.
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}()
}

// took returns how long the answer took; 0 for none.
func (q *request) took() time.Duration {
	if q.answered.IsZero() {
		return 0
	}
	return q.answered.Sub(q.sent).Round(time.Millisecond)
}

// run sends the request and waits for the answer until the deadline. It reports whether the connection can be used again.
func (q *request) run(conn net.Conn, answers *bufio.Reader) (keep bool) {
	q.sent = rig.Clock.Now()
	body := "what the quote is for"
	fmt.Fprintf(conn, "POST /snap/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\nContent-Length: %d\r\n\r\n%s", q.id, host, q.id, deadline.Milliseconds(), len(body), body)
	_ = conn.SetReadDeadline(q.sent.Add(deadline))
	resp, err := http.ReadResponse(answers, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.problem = "no answer within the deadline"
		return false
	case err != nil:
		q.problem = "no answer: " + err.Error()
		return false
	}
	q.answered, q.status = rig.Clock.Now(), resp.StatusCode
	_ = conn.SetReadDeadline(time.Time{})
	return !resp.Close
}

// users are what all users have sent, and their connections.
type users struct {
	mu          sync.Mutex
	requests    []*request
	connections []net.Conn
}

func (u *users) add(q *request, conn net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests = append(u.requests, q)
	if conn != nil {
		u.connections = append(u.connections, conn)
	}
}

func (u *users) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, conn := range u.connections {
		_ = conn.Close()
	}
}

// judge applies the rule CONFIG: of the requests at machines in touch that are not answered at their route's timeout, more
// than half still have no answer half a second later; or eight or more, and over a quarter, still lack one.
func judge(r *rig.Record, all []*request, site *rig.Site) int {
	served, unanswered, late, first, problems := 0, 0, 0, time.Duration(0), map[string]int{}
	var begin time.Time
	for _, q := range all {
		if !q.sent.IsZero() && (begin.IsZero() || q.sent.Before(begin)) {
			begin = q.sent
		}
	}
	for _, q := range all {
		if q.status == http.StatusOK {
			served++
		}
		if q.problem != "" {
			problems[strings.SplitN(q.problem, ": ", 2)[0]]++
		}
		// Only the machine that nothing happens to counts: it is in touch all the time after its start.
		if q.node != site.Nodes[0].Name || q.sent.IsZero() || q.sent.Sub(begin) < contact {
			continue
		}
		if !q.answered.IsZero() && q.answered.Sub(q.sent) <= timeout {
			continue
		}
		unanswered++
		if q.answered.IsZero() || q.answered.Sub(q.sent) > timeout+overdue {
			late++
			if at := q.sent.Sub(begin); first == 0 || at < first {
				first = at
			}
		}
	}
	_, alive := site.Nodes[0].Pid()
	r.Say("requests %d, served %d, problems %v", len(all), served, problems)
	r.Say("machine %s: process runs %t, the balancer has it in %t", site.Nodes[0].Name, alive, site.Nodes[0].In())
	r.Say("there: unanswered at the route's timeout %d, of them without an answer %v later %d; the first was sent %.1f s after the first request", unanswered, overdue, late, first.Seconds())
	if late >= minOverdue && 2*late > unanswered {
		r.Say("CONFIG is broken")
		return exitBroken
	}
	if served == 0 {
		r.Say("not run: nothing was served")
		return exitNoResult
	}
	r.Say("CONFIG held")
	return exitHeld
}
