package main

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"

	"olivetiller/standin/site"
)

// printConfig prints a configuration for a shape, to be published or edited.
func printConfig(shape site.Shape) error {
	text, err := protojson.MarshalOptions{Multiline: true}.Marshal(shape.Config())
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	return nil
}
