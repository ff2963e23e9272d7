package peer

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"sync"

	"olivetiller/core/directory"
)

// Shared is the part of full snapshots that is the same for all nodes. It is encoded and compressed once: with 300
// nodes and 3,000 engines, a new holder that encodes it for each node answers later than the nodes' timeout. It must
// not be changed after its first use.
type Shared struct {
	Serving   map[string][]string `json:"serving,omitempty"`
	Instances []directory.Record  `json:"instances,omitempty"`

	once        sync.Once
	plain, gzip []byte
	err         error
}

// encoded returns the JSON form of s, uncompressed and compressed.
func (s *Shared) encoded() (plain, gzip []byte, err error) {
	s.once.Do(func() {
		if s.plain, s.err = json.Marshal(s); s.err == nil {
			s.gzip = compress(s.plain)
		}
	})
	return s.plain, s.gzip, s.err
}

// snapshotBody encodes a snapshot. A full snapshot with a Shared part is two JSON values, the second of which holds the
// shared fields; if compressed, each of them is one gzip member of the stream.
func snapshotBody(s *Snapshot, compressed bool) (raw []byte, encoding string, err error) {
	own := *s
	if s.Shared != nil {
		own.Serving, own.Instances = nil, nil
	}
	raw, err = json.Marshal(&own)
	if err != nil {
		return nil, "", err
	}
	if s.Shared == nil {
		if !compressed || len(raw) < minGzipBytes {
			return raw, "", nil
		}
		return compress(raw), encodingGzip, nil
	}
	plain, zipped, err := s.Shared.encoded()
	if err != nil {
		return nil, "", err
	}
	if !compressed {
		return append(raw, plain...), "", nil
	}
	return append(compress(raw), zipped...), encodingGzip, nil
}

// decodeAll decodes all JSON values of a message, one after the other, into the same variable.
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

// DecodeSnapshot decodes the uncompressed form of a snapshot.
func DecodeSnapshot(raw []byte) (*Snapshot, error) {
	var s Snapshot
	if err := decodeAll(raw, &s); err != nil {
		return nil, err
	}
	return &s, nil
}
