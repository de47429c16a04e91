package once

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	prim "github.com/primrosethread/primrosethread"
)

// A planned stop hands every record to the next candidate of its key, where a
// walk finds it by a Lookup once this host no longer answers.

// KindRecordHandOver is the kind of the message that moves records.
const KindRecordHandOver prim.Kind = "RecordHandOver"

// handOverBytes is the size from which a message is sent. With the largest
// answer it stays below the limit of a frame, 1 MiB + 64 KiB.
const handOverBytes = 32 << 10

// handOver is the body of the message.
type handOver struct {
	From    prim.HostName `cbor:"1,keyasint"`
	Records []record      `cbor:"2,keyasint"`
}

// record is an entry on its way.
type record struct {
	ID      id              `cbor:"1,keyasint"`
	State   state           `cbor:"2,keyasint"`
	Digest  []byte          `cbor:"3,keyasint,omitempty"`
	Created time.Time       `cbor:"4,keyasint,omitzero"`
	Others  []prim.HostName `cbor:"5,keyasint,omitempty"`
	Kept    bool            `cbor:"6,keyasint,omitempty"`
	Status  int             `cbor:"7,keyasint,omitempty"`
	Header  http.Header     `cbor:"8,keyasint,omitempty"`
	Body    []byte          `cbor:"9,keyasint,omitempty"`

	size int64
}

// Times keep their nanoseconds, since both hosts compare them with the same key.
var encoding, _ = cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()

var errNoSuccessor = errors.New("no other host accepted the idempotency records; repeats of their keys end as Unknown")

// HandOver moves the records to the next candidates of their keys. It first
// waits for the requests that run, and no key runs here afterwards. The error
// says that some records could not be moved.
func (o *Owner) HandOver(ctx context.Context) error {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	if err := o.drain(ctx); err != nil {
		return err
	}
	if o.config.Transport == nil {
		return errNoSuccessor
	}
	now := time.Now()
	v := o.config.Documents.View()
	var failed error
	for to, records := range o.snapshot(v, now) {
		if to == "" {
			failed = errNoSuccessor
			continue
		}
		for len(records) > 0 {
			n := batch(records)
			if err := o.send(ctx, v, to, records[:n], now); err != nil {
				failed = err
			}
			records = records[n:]
		}
	}
	return failed
}

// snapshot returns the records by the host that shall get them, which is empty
// for those that no host can get.
func (o *Owner) snapshot(v *prim.View, now time.Time) map[prim.HostName][]record {
	o.mu.Lock()
	defer o.mu.Unlock()
	records := make(map[prim.HostName][]record)
	for _, e := range o.table.entries {
		r := record{ID: e.id, State: e.state, Digest: slices.Clone(e.digest[:]), Created: e.created, Others: slices.Clone(e.others), size: e.size}
		if e.answer != nil {
			r.Kept, r.Status, r.Header, r.Body = true, e.answer.Status, e.answer.Header, e.answer.Body
		}
		var to prim.HostName
		if names := o.successors(v, r, now); len(names) > 0 {
			to = names[0]
		}
		records[to] = append(records[to], r)
	}
	return records
}

func (o *Owner) drain(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		o.pending.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// successors returns the other live candidates of a record's key, from the next
// one on. Those before this host come last: they have left tombstones, and a
// record supersedes a tombstone.
func (o *Owner) successors(v *prim.View, r record, now time.Time) []prim.HostName {
	hosts, ok := order(v, r.ID, r.Created, now)
	if !ok {
		hosts = v.ServiceHosts(r.ID.Service)
	}
	self := slices.IndexFunc(hosts, func(h *prim.Host) bool { return h.Name == o.config.Host })
	var names []prim.HostName
	for i := range hosts {
		if h := hosts[(self+1+i)%len(hosts)]; h.Name != o.config.Host && h.State == prim.HostLive {
			names = append(names, h.Name)
		}
	}
	return names
}

// batch returns how many records fit into one message, at least one.
func batch(records []record) int {
	size := records[0].size
	n := 1
	for n < len(records) && size+records[n].size <= handOverBytes {
		size += records[n].size
		n++
	}
	return n
}

// send gives records to a host, or else to the later candidates of the first key.
func (o *Owner) send(ctx context.Context, v *prim.View, to prim.HostName, records []record, now time.Time) error {
	body, err := encoding.Marshal(handOver{From: o.config.Host, Records: records})
	if err != nil {
		return err
	}
	hosts := o.successors(v, records[0], now)
	at := max(slices.Index(hosts, to), 0)
	for i := range hosts {
		if _, err = o.config.Transport.Ask(ctx, hosts[(at+i)%len(hosts)], prim.Message{Kind: KindRecordHandOver, Body: body}); err == nil {
			return nil
		}
	}
	return errors.Join(errNoSuccessor, err)
}

// accept takes over the records of another host.
func (o *Owner) accept(_ context.Context, from prim.HostName, m prim.Message) (prim.Message, error) {
	var h handOver
	if err := cbor.Unmarshal(m.Body, &h); err != nil {
		return prim.Message{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return prim.Message{}, errors.New("this host is stopping too; hand the records to another")
	}
	now := time.Now()
	for _, r := range h.Records {
		if err := o.insert(from, r, now); err != nil {
			return prim.Message{}, err
		}
	}
	return prim.Message{Kind: "Accepted"}, nil
}

// insert merges a record into the table. A record of a run supersedes a
// tombstone or nothing, but never another record.
func (o *Owner) insert(from prim.HostName, r record, now time.Time) error {
	e := o.table.find(r.ID, now)
	if e == nil {
		if e = o.table.add(r.ID, r.Created, now); e == nil {
			return errors.New("no memory left for idempotency records")
		}
	}
	switch {
	case r.State == done || r.State == lost:
		if e.state != absent && e.state != tombstone {
			return nil
		}
		copy(e.digest[:], r.Digest)
		var a *prim.Answer
		if r.Kept {
			a = &prim.Answer{Status: r.Status, Header: r.Header, Body: r.Body}
		}
		o.table.finish(e, r.State, a)
	case r.State == tombstone:
		r.Others = append(r.Others, from)
	}
	for _, h := range r.Others {
		if !slices.Contains(e.others, h) {
			e.others = append(e.others, h)
		}
	}
	return nil
}
