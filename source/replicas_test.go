package source_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/source"
)

// replica serves one version, or fails.
type replica struct {
	version uint64
	reads   int
	err     error
}

func (r *replica) Index(context.Context) ([]prim.Digest, error) {
	r.reads++
	return []prim.Digest{{Name: prim.NamePlans, Version: r.version}}, r.err
}

func (r *replica) Read(_ context.Context, name string) (prim.Document, error) {
	r.reads++
	return prim.Document{Digest: prim.Digest{Name: name, Version: r.version}}, r.err
}

// Guards against a node that stays with a stale replica and never learns of a
// change, and against one that reads a document from another replica than the
// one that named its version.
func TestStaleReplica(t *testing.T) {
	is := is.New(t)
	stale, good := &replica{version: 1}, &replica{version: 2}
	r, err := source.NewReplicas([]prim.Platform{stale, good})
	is.NoErr(err)
	seen := make(map[uint64]bool)
	for range 2 {
		index, err := r.Index(t.Context())
		is.NoErr(err)
		seen[index[0].Version] = true
		d, err := r.Read(t.Context(), prim.NamePlans)
		is.NoErr(err)
		is.Equal(d.Version, index[0].Version)
	}
	is.True(seen[2])
}

// Guards against more reads when a replica is down, and against reads that stay
// with it.
func TestFailedReplica(t *testing.T) {
	is := is.New(t)
	down, good := &replica{err: errors.New("down")}, &replica{version: 2}
	r, err := source.NewReplicas([]prim.Platform{down, good})
	is.NoErr(err)
	failed := 0
	for range 8 {
		if _, err := r.Index(t.Context()); err != nil {
			failed++
			_, err = r.Read(t.Context(), prim.NamePlans)
			is.NoErr(err)
		}
	}
	is.True(failed <= 8/2+1)
	is.Equal(down.reads+good.reads, 8+failed)
}
