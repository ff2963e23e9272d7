package main

import (
	"fmt"

	pb "olivetiller/proto/olivetiller/v1"
)

// endpointCmd is the commands about endpoints.
type endpointCmd struct {
	Drain  drainCmd  `cmd:"" help:"Give an endpoint no new work and unload it."`
	Resume resumeCmd `cmd:"" help:"Give a drained endpoint work again."`
}

type drainCmd struct {
	nodeFlags
	Endpoint string `arg:"" help:"The endpoint's name in the instance list."`
}

// Run implements the command.
func (c *drainCmd) Run() error { return setDrain(&c.nodeFlags, c.Endpoint, false) }

type resumeCmd struct {
	nodeFlags
	Endpoint string `arg:"" help:"The endpoint's name in the instance list."`
}

// Run implements the command.
func (c *resumeCmd) Run() error { return setDrain(&c.nodeFlags, c.Endpoint, true) }

func setDrain(f *nodeFlags, endpoint string, resume bool) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	_, err = client.DrainEndpoint(ctx, authorized(f, &pb.DrainEndpointRequest{Endpoint: endpoint, Resume: resume}))
	if err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}

// stopCmd begins the planned stop of a node.
type stopCmd struct {
	nodeFlags
}

// Run implements the command.
func (c *stopCmd) Run() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := callContext()
	defer cancel()
	if _, err := client.StopNode(ctx, authorized(&c.nodeFlags, &pb.StopNodeRequest{})); err != nil {
		return err
	}
	fmt.Println("ok: the node stops when its requests have ended")
	return nil
}
