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
//
// A host that its own list shows as leaving then retires: it promises the others
// never to run any key. Without that promise every key whose candidate it was
// would end as Unknown for KeyWindow after its removal. A later instance under
// the same entry of the host list keeps the promise too, because an owner runs
// keys only while a list that was issued after its own start shows it as live,
// and the platform gives a host that returns a new Since. The promise holds for
// keys that only this instance can have run, and only the next candidate of such
// a key may tell of it, since it got the records.

// KindRecordHandOver is the kind of the message that moves records.
const KindRecordHandOver prim.Kind = "RecordHandOver"

// handOverBytes is the size from which a message is sent. With the largest
// answer it stays below the limit of a frame, 1 MiB + 64 KiB.
const handOverBytes = 32 << 10

// handOver is the body of the message.
type handOver struct {
	Records []record `cbor:"1,keyasint,omitempty"`
	// Retired is set when every record for the receiver was delivered and no
	// key will run at the sender's entry of the host list, named by Since.
	// Keys created up to After may have run at an earlier instance.
	Retired bool      `cbor:"2,keyasint,omitempty"`
	Since   time.Time `cbor:"3,keyasint,omitzero"`
	After   time.Time `cbor:"4,keyasint,omitzero"`
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
	missed := make(map[prim.HostName]bool)
	batches, steady := o.snapshot(v, now)
	for to, records := range batches {
		if to == "" {
			failed = errNoSuccessor
			continue
		}
		for len(records) > 0 {
			n := batch(records)
			accepted, err := o.send(ctx, o.successors(v, records[0], now), to, records[:n])
			if err != nil {
				failed = err
			}
			if accepted != to {
				missed[to] = true
			}
			records = records[n:]
		}
	}
	if steady && fresh(v, now) {
		o.retire(ctx, v, missed)
	}
	return failed
}

// retire promises the others that no key runs here any more. Those that missed
// records must not tell of it. A promise that is not delivered costs availability
// only, so errors are ignored.
func (o *Owner) retire(ctx context.Context, v *prim.View, missed map[prim.HostName]bool) {
	self, ok := v.Host(o.config.Host)
	if !ok || self.State != prim.HostLeaving {
		return
	}
	m := handOver{Retired: true, Since: self.Since, After: o.config.Started.Add(KeyMargin)}
	for _, h := range v.ServiceHosts(self.Service) {
		if h.State == prim.HostLive && !missed[h.Name] {
			o.tell(ctx, h.Name, m)
		}
	}
}

func (o *Owner) tell(ctx context.Context, to prim.HostName, m handOver) error {
	body, err := encoding.Marshal(m)
	if err != nil {
		return err
	}
	_, err = o.config.Transport.Ask(ctx, to, prim.Message{Kind: KindRecordHandOver, Body: body})
	return err
}

// snapshot returns the records by the host that shall get them, which is empty
// for those that no host can get. It returns false if the order of some key is
// not known.
func (o *Owner) snapshot(v *prim.View, now time.Time) (map[prim.HostName][]record, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	records := make(map[prim.HostName][]record)
	steady := true
	for _, e := range o.table.entries {
		if _, ok := order(v, e.id, e.created, now); !ok {
			steady = false
		}
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
	return records, steady
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

// send gives records to a host, or else to later candidates of the first key. It
// returns the host that accepted them.
func (o *Owner) send(ctx context.Context, hosts []prim.HostName, to prim.HostName, records []record) (prim.HostName, error) {
	at := max(slices.Index(hosts, to), 0)
	var err error
	for i := range hosts {
		h := hosts[(at+i)%len(hosts)]
		if err = o.tell(ctx, h, handOver{Records: records}); err == nil {
			return h, nil
		}
	}
	return "", errors.Join(errNoSuccessor, err)
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
	if h.Retired {
		k := retiree{from, h.Since.UnixNano()}
		// A later instance runs nothing, so the earliest promise stays true.
		if old, ok := o.retired[k]; !ok || h.After.Before(old) {
			o.retired[k] = h.After
		}
	}
	for _, r := range h.Records {
		if err := o.insert(from, r, now); err != nil {
			return prim.Message{}, err
		}
	}
	return prim.Message{Kind: "Accepted"}, nil
}

// retiree names a host that has retired. A host has one entry for each Since; the
// number of them is bounded by the host list.
type retiree struct {
	host  prim.HostName
	since int64
}

// passed returns the refusal of a lookup without a record. It names the candidate
// whose tombstones, with those of all before it, were handed over to this host,
// or else the one just before this host if that one has retired.
func (o *Owner) passed(hosts []*prim.Host, created time.Time, e *entry) *prim.Refusal {
	no := o.refuse(prim.ReasonNoRecord)
	self := slices.IndexFunc(hosts, func(h *prim.Host) bool { return h.Name == o.config.Host })
	if self > 0 {
		h := hosts[self-1]
		if after, ok := o.retired[retiree{h.Name, h.Since.UnixNano()}]; ok && created.After(after) {
			no.Reason, no.Host = prim.ReasonLeaving, h.Name
		}
	}
	if e == nil {
		return no
	}
	for i, h := range slices.Backward(hosts) {
		if slices.Contains(e.others, h.Name) {
			if no.Reason != prim.ReasonLeaving || i >= self-1 {
				no.Reason, no.Host = prim.ReasonNoRecord, h.Name
			}
			break
		}
	}
	return no
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
