package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"olivetiller/internal/fleetkeys"
)

// keysCmd groups the commands that create the fleet's certificates and keys.
type keysCmd struct {
	Authority keysAuthorityCmd `cmd:"" help:"Create the fleet's certificate authority: authority.pem and authority.key."`
	Node      keysNodeCmd      `cmd:"" help:"Create a node's certificate and key, NAME.pem and NAME.key, signed by the authority in the same folder."`
}

// File names of the authority's certificate and key.
const (
	authorityCert = "authority.pem"
	authorityKey  = "authority.key"
)

type keysAuthorityCmd struct {
	Dir   string `required:"" type:"path" help:"Folder to write to; it is created if missing."`
	Fleet string `default:"olivetiller" help:"Name of the fleet, part of the certificate's common name."`
}

// Run creates the authority.
func (c *keysAuthorityCmd) Run() error {
	pair, err := fleetkeys.NewAuthority(c.Fleet, time.Now())
	if err != nil {
		return err
	}
	return writePair(c.Dir, authorityCert, authorityKey, pair)
}

type keysNodeCmd struct {
	Dir  string `required:"" type:"path" help:"Folder that holds the authority and receives the node's files."`
	Name string `arg:"" help:"Name of the node, equal to its setting node.name."`
}

// Run creates the node's certificate.
func (c *keysNodeCmd) Run() error {
	authority, err := fleetkeys.Read(filepath.Join(c.Dir, authorityCert), filepath.Join(c.Dir, authorityKey))
	if err != nil {
		return err
	}
	pair, err := fleetkeys.NewNode(authority, c.Name, time.Now())
	if err != nil {
		return err
	}
	return writePair(c.Dir, c.Name+".pem", c.Name+".key", pair)
}

// writePair writes a certificate and its key, and fails rather than overwrite an existing file.
func writePair(dir, certName, keyName string, pair fleetkeys.Pair) error {
	const private, public = 0o600, 0o644
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return usageError{err}
	}
	if err := writeNew(filepath.Join(dir, keyName), pair.Key, private); err != nil {
		return err
	}
	if err := writeNew(filepath.Join(dir, certName), pair.Certificate, public); err != nil {
		return err
	}
	fmt.Printf("wrote %s and %s\n", certName, keyName)
	return nil
}

func writeNew(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return usageError{fmt.Errorf("%w; move the old file away to renew it", err)}
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return usageError{err}
	}
	return f.Close()
}
