package main

import (
	"fmt"

	pb "olivetiller/proto/olivetiller/v1"
)

// endpointCmd groups the commands that drain and resume endpoints.
type endpointCmd struct {
	Drain  drainCmd  `cmd:"" help:"Drain an endpoint: send it no new requests and unload its models."`
	Resume resumeCmd `cmd:"" help:"Send requests to a drained endpoint again."`
}

type drainCmd struct {
	nodeFlags
	Endpoint string `arg:"" help:"ID of the endpoint in the instance list."`
}

// Run drains the endpoint.
func (c *drainCmd) Run() error { return setDrain(&c.nodeFlags, c.Endpoint, false) }

type resumeCmd struct {
	nodeFlags
	Endpoint string `arg:"" help:"ID of the endpoint in the instance list."`
}

// Run resumes the endpoint.
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

// stopCmd starts the planned stop of a node.
type stopCmd struct {
	nodeFlags
}

// Run starts the stop and returns without waiting for its end.
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
