package peer

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"sync"

	"olivetiller/core/directory"
	"olivetiller/core/route"
)

// Shared is a part of snapshots that many nodes get. It is encoded and compressed once: at 300
// nodes and 3,000 engines a holder else spends longer on its answers than the nodes wait for
// them. Its fields take the place of those of the snapshot; it must not be changed.
type Shared struct {
	Serving   map[string][]string `json:"serving,omitempty"`
	Instances []directory.Record  `json:"instances,omitempty"`
	Config    *route.Config       `json:"config,omitempty"`

	once        sync.Once
	plain, gzip []byte
	err         error
}

// encoded returns the part as JSON, plain and compressed.
func (s *Shared) encoded() (plain, gzip []byte, err error) {
	s.once.Do(func() {
		if s.plain, s.err = json.Marshal(s); s.err == nil {
			s.gzip = compress(s.plain)
		}
	})
	return s.plain, s.gzip, s.err
}

// withoutShared returns a snapshot without the fields that its shared parts hold.
func withoutShared(s *Snapshot) *Snapshot {
	own := *s
	for _, part := range s.Shared {
		if part.Serving != nil {
			own.Serving = nil
		}
		if part.Instances != nil {
			own.Instances = nil
		}
		if part.Config != nil {
			own.Config = nil
		}
	}
	return &own
}

// snapshotBody encodes a snapshot. Its shared parts follow as JSON values of their own in the same
// message; compressed, as members of one stream.
func snapshotBody(s *Snapshot, compressed bool) (raw []byte, encoding string, err error) {
	raw, err = json.Marshal(withoutShared(s))
	if err != nil {
		return nil, "", err
	}
	if compressed = compressed && (len(raw) >= gzipFrom || len(s.Shared) > 0); compressed {
		raw, encoding = compress(raw), encodingGzip
	}
	for _, part := range s.Shared {
		plain, zipped, err := part.encoded()
		if err != nil {
			return nil, "", err
		}
		if compressed {
			plain = zipped
		}
		raw = append(raw, plain...)
	}
	return raw, encoding, nil
}

// decodeAll decodes the JSON values of a message into one, one after the other.
func decodeAll(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	if err := d.Decode(into); err != nil {
		return err
	}
	for {
		switch err := d.Decode(into); {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
