package source

import (
	"context"
	"errors"
	"sync/atomic"

	prim "github.com/primrosethread/primrosethread"
)

// Replicas reads from the replicas of the platform's service. Every read of the
// index goes to the next replica: a stale one answers as a current one does, so
// a reader that stayed with it would never learn of a change. Documents are read
// from the replica of the last index, which has the versions that it named, or
// from the next one after a failure.
type Replicas struct {
	clients []prim.Platform
	indexes atomic.Uint32 // reads of the index so far
	current atomic.Uint32 // for documents
}

// NewReplicas returns a reader of the given replicas; there must be at least
// one.
func NewReplicas(clients []prim.Platform) (*Replicas, error) {
	if len(clients) == 0 {
		return nil, Error.New("no replica of the configuration service is given; set at least one address")
	}
	return &Replicas{clients: clients}, nil
}

// Index returns the digests of all documents.
func (r *Replicas) Index(ctx context.Context) ([]prim.Digest, error) {
	r.current.Store(r.indexes.Add(1))
	return try(r, func(p prim.Platform) ([]prim.Digest, error) { return p.Index(ctx) })
}

// Read returns the current version of one document.
func (r *Replicas) Read(ctx context.Context, name string) (prim.Document, error) {
	return try(r, func(p prim.Platform) (prim.Document, error) { return p.Read(ctx, name) })
}

// try makes one call. It does not go through all replicas: the caller's rate
// of reads must stay the same when the service is down.
func try[T any](r *Replicas, call func(prim.Platform) (T, error)) (T, error) {
	i := r.current.Load()
	v, err := call(r.clients[int(i)%len(r.clients)])
	if err != nil && !errors.Is(err, context.Canceled) {
		r.current.CompareAndSwap(i, i+1)
	}
	return v, err
}
