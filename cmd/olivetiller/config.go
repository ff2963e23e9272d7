package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/encoding/protojson"

	"olivetiller/core/catalog"
	pb "olivetiller/proto/olivetiller/v1"
)

// configCmd groups the commands that check, publish and read the configuration.
type configCmd struct {
	Check   configCheckCmd   `cmd:"" help:"Check a configuration file without calling a node, and list every fault."`
	Publish configPublishCmd `cmd:"" help:"Publish a configuration file through a node."`
	Show    configShowCmd    `cmd:"" help:"Print the configuration in force at a node, as JSON."`
	Watch   configWatchCmd   `cmd:"" help:"Print a line for each revision that comes into force at a node."`
}

// readConfig reads a configuration file, which is the Config message in JSON.
func readConfig(path string) (*pb.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError{err}
	}
	cfg := &pb.Config{}
	if err := protojson.Unmarshal(data, cfg); err != nil {
		return nil, usageError{fmt.Errorf("%s: %w; write it as the Config message of proto/olivetiller/v1/config.proto in JSON", path, err)}
	}
	return cfg, nil
}

// marshalConfig encodes a configuration in the form that readConfig reads.
func marshalConfig(cfg *pb.Config) ([]byte, error) {
	return protojson.MarshalOptions{Multiline: true}.Marshal(cfg)
}

type configCheckCmd struct {
	File string `arg:"" type:"path" help:"Configuration file, JSON."`
}

// Run prints the faults of the file and fails if there are any.
func (c *configCheckCmd) Run() error {
	cfg, err := readConfig(c.File)
	if err != nil {
		return err
	}
	faults := catalog.Check(cfg)
	for _, f := range faults {
		fmt.Println(f)
	}
	if len(faults) > 0 {
		return fmt.Errorf("%s has %d faults", c.File, len(faults))
	}
	fmt.Printf("ok: %d models, %d adapters, %d services, %d callers\n",
		len(cfg.GetModels()), len(cfg.GetAdapters()), len(cfg.GetServices()), len(cfg.GetCallers()))
	return nil
}

type configPublishCmd struct {
	nodeFlags
	File         string  `arg:"" type:"path" help:"Configuration file, JSON."`
	BaseRevision *uint64 `help:"Revision that the file is based on. The publish fails if another one is in force. Default: the revision in force at the node."`
	ChangeID     string  `name:"change-id" help:"Idempotency key of the change. Repeat a publish with the same one. Default: a new one, which is printed."`
	DryRun       bool    `help:"Perform all checks without publishing."`
}

// Run publishes the file and prints the new revision and the change ID.
func (c *configPublishCmd) Run() error {
	cfg, err := readConfig(c.File)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	base := c.BaseRevision
	if base == nil {
		now, err := client.GetConfig(ctx, authorized(&c.nodeFlags, &pb.GetConfigRequest{}))
		if err != nil {
			return err
		}
		revision := now.Msg.GetRevision()
		base = &revision
	}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	resp, err := client.Publish(ctx, authorized(&c.nodeFlags, &pb.PublishRequest{
		Config: cfg, BaseRevision: *base, ChangeId: c.ChangeID, DryRun: c.DryRun,
	}))
	if err != nil {
		printDetails(err)
		return err
	}
	if c.DryRun {
		fmt.Printf("ok: would change %d items on revision %d\n", resp.Msg.GetChanged(), resp.Msg.GetRevision())
		return nil
	}
	fmt.Printf("ok: revision %d, %d items changed, change id %s\n", resp.Msg.GetRevision(), resp.Msg.GetChanged(), c.ChangeID)
	return nil
}

// printDetails prints the typed details of a rejected publish: its faults, or the revision that it conflicts with.
func printDetails(err error) {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return
	}
	for _, d := range ce.Details() {
		msg, err := d.Value()
		if err != nil {
			continue
		}
		switch m := msg.(type) {
		case *pb.Fault:
			fmt.Println(catalog.Fault{Path: m.GetPath(), Problem: m.GetProblem(), Remedy: m.GetRemedy()})
		case *pb.Conflict:
			fmt.Printf("conflict: the revision in force is %d\n", m.GetCurrentRevision())
		}
	}
}

type configShowCmd struct {
	nodeFlags
}

// Run prints the configuration to standard output, and its revision and age to standard error.
func (c *configShowCmd) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	resp, err := client.GetConfig(ctx, authorized(&c.nodeFlags, &pb.GetConfigRequest{}))
	if err != nil {
		return err
	}
	text, err := marshalConfig(resp.Msg.GetConfig())
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	fmt.Fprintf(os.Stderr, "revision %d, as of %d ms ago\n", resp.Msg.GetRevision(), resp.Msg.GetAgeMs())
	return nil
}

type configWatchCmd struct {
	nodeFlags
	Count int `help:"Stop after this number of revisions; 0 means no limit."`
}

// Run prints revisions until the count is reached or the stream ends.
func (c *configWatchCmd) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	stream, err := client.WatchConfig(context.Background(), authorized(&c.nodeFlags, &pb.WatchConfigRequest{}))
	if err != nil {
		return err
	}
	defer stream.Close()
	for n := 1; stream.Receive(); n++ {
		m := stream.Msg()
		fmt.Printf("revision %d: %d models, %d adapters, %d callers\n", m.GetRevision(),
			len(m.GetConfig().GetModels()), len(m.GetConfig().GetAdapters()), len(m.GetConfig().GetCallers()))
		if n == c.Count {
			return nil
		}
	}
	return stream.Err()
}
