package source

import (
	"context"
	"errors"
	"sync/atomic"

	prim "github.com/primrosethread/primrosethread"
)

// Replicas implements prim.Platform over several replicas of the configuration
// service. Index reads are distributed round-robin: the responses of a stale replica
// look like those of a current one, so a client that used only a stale one would
// never see a change. Documents are read from the replica of the last index, which
// has the versions listed there, or after a failure from the next one.
type Replicas struct {
	clients        []prim.Platform
	indexReads     atomic.Uint32 // number of index reads so far
	currentReplica atomic.Uint32 // replica to call, modulo their number; the next one after a failure
}

// NewReplicas returns Replicas that use the given clients, one per replica. There
// must be at least one.
func NewReplicas(clients []prim.Platform) (*Replicas, error) {
	if len(clients) == 0 {
		return nil, Error.New("no replicas of the configuration service; set at least one address")
	}
	return &Replicas{clients: clients}, nil
}

// Index returns the digests of all documents.
func (r *Replicas) Index(ctx context.Context) ([]prim.Digest, error) {
	r.currentReplica.Store(r.indexReads.Add(1))
	return callReplica(r, func(p prim.Platform) ([]prim.Digest, error) { return p.Index(ctx) })
}

// Read returns the current version of one document.
func (r *Replicas) Read(ctx context.Context, name string) (prim.Document, error) {
	return callReplica(r, func(p prim.Platform) (prim.Document, error) { return p.Read(ctx, name) })
}

// callReplica makes one call to the current replica and, if the call fails, selects
// the next one for later calls. It does not try the other replicas, so that the rate
// of reads stays the same when the service is down.
func callReplica[T any](r *Replicas, call func(prim.Platform) (T, error)) (T, error) {
	i := r.currentReplica.Load()
	v, err := call(r.clients[int(i)%len(r.clients)])
	if err != nil && !errors.Is(err, context.Canceled) {
		r.currentReplica.CompareAndSwap(i, i+1)
	}
	return v, err
}
