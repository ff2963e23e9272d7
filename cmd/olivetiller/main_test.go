package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"olivetiller/internal/client"
	"olivetiller/standin/site"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"olivetiller": main, "standin": standin})
}

// standin runs stand-ins of a small deployment's platform at the addresses in the environment, with the nodes a and b
// in its instance list.
func standin() {
	shape := site.Krautwerk()
	shape.Engines, shape.OtherEngines, shape.ListLag = 3, 0, 100*time.Millisecond
	s, err := site.Start(shape, site.Addresses{Log: os.Getenv("LOG"), List: os.Getenv("LIST")})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for _, n := range []string{"a", "b"} {
		s.AddNode(n, os.Getenv("PEER_"+n), shape.Halls[0])
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	s.Close()
}

// TestScripts runs the scenarios in testdata/script, which start olivetiller and the stand-ins as separate processes.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			for _, name := range []string{"LOG", "LIST", "CALLER_a", "OPERATOR_a", "PEER_a", "CALLER_b", "OPERATOR_b", "PEER_b"} {
				address, err := freeAddress()
				if err != nil {
					return err
				}
				env.Setenv(name, address)
			}
			env.Setenv("OLIVETILLER_TOKEN", "t")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"expand": expand, "await": await, "ask": ask, "config": writeConfig,
		},
	})
}

// freeAddress returns a free port on a random loopback address. On 127.0.0.1 another process of the machine may take
// the port before the node does.
func freeAddress() (string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// expand replaces ${NAME} in files by variables of the script's environment.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o644))
	}
}

// await repeats a command for up to 30 s until it succeeds and its output contains a text.
func await(ts *testscript.TestScript, _ bool, args []string) {
	until := time.Now().Add(30 * time.Second)
	var err error
	for time.Now().Before(until) {
		if err = ts.Exec(args[1], args[2:]...); err == nil && strings.Contains(ts.ReadFile("stdout"), args[0]) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%v did not print %q within 30 s: %v", args[1:], args[0], err)
}

// ask sends a completion request for a model to an address and checks every token of the answer.
func ask(ts *testscript.TestScript, neg bool, args []string) {
	r := client.New("curator").Complete(context.Background(), args[0], client.Completion{
		Model: args[1], Prompt: "p", Tokens: 5, Stream: true, Timeout: 30 * time.Second,
	})
	if r.Whole == neg {
		ts.Fatalf("answer of %s: %+v", args[1], r)
	}
}

// writeConfig writes the stand-ins' configuration to a file.
func writeConfig(ts *testscript.TestScript, _ bool, args []string) {
	text, err := marshalConfig(site.Krautwerk().Config())
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), text, 0o644))
}
