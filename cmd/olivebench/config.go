package main

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"

	"olivetiller/standin/site"
)

// printConfig prints the configuration of a shape as JSON, to be edited or published.
func printConfig(shape site.Shape) error {
	text, err := protojson.MarshalOptions{Multiline: true}.Marshal(shape.Config())
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	return nil
}
