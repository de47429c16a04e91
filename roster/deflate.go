package roster

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
)

// A full state is sent deflated: the routes of a large configuration take more than one
// frame between nodes, but compress well.

const (
	// minDeflatedBytes is the size from which a state is deflated. Most states hold a few
	// changes and fit into one packet.
	minDeflatedBytes = 4 << 10
	// maxStateBytes bounds an inflated state.
	maxStateBytes = 16 << 20
)

var errStateTooLarge = errors.New("the state is too large; check the published configuration")

func deflate(b []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(b); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func inflate(b []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxStateBytes+1))
	if err == nil && len(out) > maxStateBytes {
		err = errStateTooLarge
	}
	return out, err
}
