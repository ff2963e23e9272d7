package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"olivetiller/internal/fleetkeys"
)

// keysCmd makes the fleet's keys.
type keysCmd struct {
	Authority keysAuthorityCmd `cmd:"" help:"Make the fleet's authority: authority.pem and authority.key."`
	Node      keysNodeCmd      `cmd:"" help:"Make a node's certificate: NAME.pem and NAME.key, signed by the authority in the same folder."`
}

// Names of the authority's files.
const (
	authorityCert = "authority.pem"
	authorityKey  = "authority.key"
)

type keysAuthorityCmd struct {
	Dir   string `required:"" type:"path" help:"The folder to write into."`
	Fleet string `default:"olivetiller" help:"The fleet's name, shown in the certificate."`
}

// Run implements the command.
func (c *keysAuthorityCmd) Run() error {
	pair, err := fleetkeys.NewAuthority(c.Fleet, time.Now())
	if err != nil {
		return err
	}
	return writePair(c.Dir, authorityCert, authorityKey, pair)
}

type keysNodeCmd struct {
	Dir  string `required:"" type:"path" help:"The folder with the authority."`
	Name string `arg:"" help:"The node's name, as in node.name."`
}

// Run implements the command.
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

// writePair writes a pair and never over an existing key.
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
