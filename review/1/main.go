// Command 1 is the driver of case 1: users leave their connections open, and machines are lost. See claim.txt.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"olivetiller/review/rig"
)

// Sizes and times of the case. The rate is that of all requests of the site, and the times of a request are those of
// quote-snap.
const (
	nodes        = 3
	servers      = 3
	perSecond    = 90
	work         = 60 * time.Millisecond
	timeout      = 1500 * time.Millisecond
	deadline     = 3000 * time.Millisecond
	comeUp       = time.Second
	lossAt       = 5 * time.Second
	contact      = 3 * time.Second
	trafficFor   = 45 * time.Second
	readyWithin  = 20 * time.Second
	host         = "wuny96.example"
	backend      = "quote-api"
	overdue      = 500 * time.Millisecond
	minOverdue   = 8
	exitHeld     = 0
	exitBroken   = 1
	exitNoResult = 2
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
	r.Say("trouble=%t nodes=%d rate=%d a second for %v", trouble, nodes, perSecond, trafficFor)
	site.Configure(rig.Config(1, backend, rig.Route{
		Name: "quote-snap", Host: host, Prefix: "/snap/", Type: "unsafe", TimeoutMs: 1500, TargetMs: 300, Priority: 2, Backend: backend, Attempts: 1,
	}))
	for i := range servers {
		if _, err := site.AddService(fmt.Sprintf("i-%d", i), backend, rig.Zones[i], i, work); err != nil {
			r.Say("not run: %v", err)
			return exitNoResult
		}
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
	return judge(r, traffic(site, trouble), site)
}

// traffic sends the requests and returns them when all have ended.
func traffic(site *rig.Site, trouble bool) []*request {
	var all []*request
	var wg sync.WaitGroup
	var users connections
	defer users.close()
	start := time.Now()
	lost := !trouble
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for i := 0; time.Since(start) < trafficFor; i++ {
		<-tick.C
		if !lost && time.Since(start) >= lossAt {
			lost = true
			for _, n := range site.Nodes[1:] {
				site.Record.Say("machine %s is removed for good", n.Name)
				n.Remove()
			}
		}
		q := &request{id: fmt.Sprintf("%016x", i+1)}
		all = append(all, q)
		wg.Go(func() { q.run(site, i, &users) })
	}
	wg.Wait()
	return all
}

// run sends the request of a user on a new connection, which stays open for the user's next request until the system
// closes it.
func (q *request) run(site *rig.Site, user int, users *connections) {
	n := site.Pick(user)
	if n == nil {
		q.problem = "no node is in"
		return
	}
	q.node = n.Name
	conn, err := net.DialTimeout("tcp", n.Front, comeUp)
	if err != nil {
		q.problem = "no connection: " + err.Error()
		return
	}
	users.add(conn)
	q.sent = time.Now()
	body := "what the quote is for"
	fmt.Fprintf(conn, "POST /snap/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\nContent-Length: %d\r\n\r\n%s", q.id, host, q.id, deadline.Milliseconds(), len(body), body)
	_ = conn.SetReadDeadline(q.sent.Add(deadline))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		q.problem = "no answer: " + err.Error()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			q.problem = "no answer within the deadline"
			_ = conn.Close()
		}
		site.Record.Add("%s at %s: %s", q.id, q.node, q.problem)
		return
	}
	_ = resp.Body.Close()
	q.answered, q.status = time.Now(), resp.StatusCode
	site.Record.Add("%s at %s: %d after %v", q.id, q.node, q.status, q.answered.Sub(q.sent).Round(time.Millisecond))
	if resp.Close {
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	go func() {
		// The system's close ends the read, and with it the connection.
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}()
}

// connections are the connections of all users.
type connections struct {
	mu  sync.Mutex
	all []net.Conn
}

func (c *connections) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, conn)
}

func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.all {
		_ = conn.Close()
	}
}

// judge applies the rule CONFIG: of the requests at machines in touch that are not answered at their route's timeout, more
// than half still have no answer half a second later; or eight or more, and over a quarter, still lack one.
func judge(r *rig.Record, all []*request, site *rig.Site) int {
	served, unanswered, late, first, problems := 0, 0, 0, time.Duration(0), map[string]int{}
	begin := all[0].sent
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
			if first == 0 {
				first = q.sent.Sub(begin)
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
