package source_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/source"
)

// fakeReplica is a replica that serves one version or fails. It counts reads.
type fakeReplica struct {
	version uint64
	reads   int
	err     error
}

func (r *fakeReplica) Index(context.Context) ([]prim.Digest, error) {
	r.reads++
	return []prim.Digest{{Name: prim.NamePlans, Version: r.version}}, r.err
}

func (r *fakeReplica) Read(_ context.Context, name string) (prim.Document, error) {
	r.reads++
	return prim.Document{Digest: prim.Digest{Name: name, Version: r.version}}, r.err
}

// Guards against using only a stale replica, which hides changes, and against reading
// a document from a replica other than the one whose index listed its version.
func TestStaleReplica(t *testing.T) {
	is := is.New(t)
	stale, current := &fakeReplica{version: 1}, &fakeReplica{version: 2}
	r, err := source.NewReplicas([]prim.Platform{stale, current})
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

// Guards against additional reads when a replica is down, and against reads that keep
// going to that replica.
func TestFailedReplica(t *testing.T) {
	is := is.New(t)
	down, healthy := &fakeReplica{err: errors.New("down")}, &fakeReplica{version: 2}
	r, err := source.NewReplicas([]prim.Platform{down, healthy})
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
	is.Equal(down.reads+healthy.reads, 8+failed)
}
