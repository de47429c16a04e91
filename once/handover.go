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

// In a planned stop, each record is sent to the next candidate of its key. Callers
// find it there by a lookup once this host no longer answers.
//
// If the host list of this node shows its host as leaving, the host then retires:
// it announces to the other hosts that it will never run a key again. Without the
// announcement, every key with this host among its candidates would end as Unknown
// for KeyWindow after the removal of the host. The announcement also binds later
// instances under the same entry of the host list: an owner runs keys only if a list
// issued after its own start shows its host as live, and the platform assigns a new
// Since to a host that returns. The announcement covers only keys that no earlier
// instance can have run, and only the next candidate of such a key may report it,
// because that host received the records.

// KindRecordHandOver is the kind of the message that transfers records.
const KindRecordHandOver prim.Kind = "RecordHandOver"

// handOverBatchBytes limits the size of a batch of records, except for a batch of
// one record. With the largest answer a message stays below the frame limit of
// 1 MiB + 64 KiB.
const handOverBatchBytes = 32 << 10

// handOverMessage is the body of a KindRecordHandOver message.
type handOverMessage struct {
	Records []record `cbor:"1,keyasint,omitempty"`
	// Retired announces that every record for the receiver was delivered and
	// that no key will run again under the sender's entry of the host list,
	// identified by Since. Keys created no later than After are excluded, because
	// they may have run at an earlier instance.
	Retired bool      `cbor:"2,keyasint,omitempty"`
	Since   time.Time `cbor:"3,keyasint,omitzero"`
	After   time.Time `cbor:"4,keyasint,omitzero"`
}

// record is the encoded form of an entry.
type record struct {
	ID             keyID           `cbor:"1,keyasint"`
	State          keyState        `cbor:"2,keyasint"`
	Digest         []byte          `cbor:"3,keyasint,omitempty"`
	Created        time.Time       `cbor:"4,keyasint,omitzero"`
	TombstoneHosts []prim.HostName `cbor:"5,keyasint,omitempty"`
	HasAnswer      bool            `cbor:"6,keyasint,omitempty"`
	Status         int             `cbor:"7,keyasint,omitempty"`
	Header         http.Header     `cbor:"8,keyasint,omitempty"`
	Body           []byte          `cbor:"9,keyasint,omitempty"`

	size int64
}

// encMode keeps the nanoseconds of times, because sender and receiver compute the
// candidates of a key from the same creation time.
var encMode, _ = cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()

var errNoReceiver = errors.New("no other host accepted the idempotency records; repeats of their keys end as Unknown")

// HandOver sends the records to the next candidates of their keys. It first stops
// running new keys and waits for the running requests. It returns an error if some
// records could not be sent.
func (o *Owner) HandOver(ctx context.Context) error {
	o.mu.Lock()
	o.stopping = true
	o.mu.Unlock()
	if err := o.waitPending(ctx); err != nil {
		return err
	}
	if o.config.Transport == nil {
		return errNoReceiver
	}
	now := time.Now()
	v := o.config.Documents.View()
	var lastErr error
	undelivered := make(map[prim.HostName]bool)
	batches, orderKnown := o.recordsByReceiver(v, now)
	for receiver, records := range batches {
		if receiver == "" {
			lastErr = errNoReceiver
			continue
		}
		for len(records) > 0 {
			n := batchLen(records)
			accepted, err := o.sendRecords(ctx, o.receivers(v, records[0], now), receiver, records[:n])
			if err != nil {
				lastErr = err
			}
			if accepted != receiver {
				undelivered[receiver] = true
			}
			records = records[n:]
		}
	}
	if orderKnown && hostListIsRecent(v, now) {
		o.retire(ctx, v, undelivered)
	}
	return lastErr
}

// retire announces to the other hosts that no key will run at this host again. It
// skips the hosts with undelivered records, which must not report the retirement.
// Errors are ignored, because a missing announcement reduces availability only.
func (o *Owner) retire(ctx context.Context, v *prim.View, undelivered map[prim.HostName]bool) {
	self, ok := v.Host(o.config.Host)
	if !ok || self.State != prim.HostLeaving {
		return
	}
	m := handOverMessage{Retired: true, Since: self.Since, After: o.config.Started.Add(KeyMargin)}
	for _, h := range v.ServiceHosts(self.Service) {
		if h.State == prim.HostLive && !undelivered[h.Name] {
			o.sendMessage(ctx, h.Name, m)
		}
	}
}

func (o *Owner) sendMessage(ctx context.Context, receiver prim.HostName, m handOverMessage) error {
	body, err := encMode.Marshal(m)
	if err != nil {
		return err
	}
	_, err = o.config.Transport.Ask(ctx, receiver, prim.Message{Kind: KindRecordHandOver, Body: body})
	return err
}

// recordsByReceiver groups the records by the host to send them to. The host name is
// empty for records that no host can receive. It returns false if the candidates of
// some key cannot be determined.
func (o *Owner) recordsByReceiver(v *prim.View, now time.Time) (map[prim.HostName][]record, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	records := make(map[prim.HostName][]record)
	orderKnown := true
	for _, e := range o.table.entries {
		if _, ok := orderedCandidates(v, e.id, e.created, now); !ok {
			orderKnown = false
		}
		r := record{ID: e.id, State: e.state, Digest: slices.Clone(e.digest[:]), Created: e.created, TombstoneHosts: slices.Clone(e.tombstoneHosts), size: e.size}
		if e.answer != nil {
			r.HasAnswer, r.Status, r.Header, r.Body = true, e.answer.Status, e.answer.Header, e.answer.Body
		}
		var receiver prim.HostName
		if receivers := o.receivers(v, r, now); len(receivers) > 0 {
			receiver = receivers[0]
		}
		records[receiver] = append(records[receiver], r)
	}
	return records, orderKnown
}

func (o *Owner) waitPending(ctx context.Context) error {
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

// receivers returns the other live candidates of a record's key, beginning with the
// one after this host. The candidates before this host come last; they have recorded
// tombstones, which a record of a run replaces.
func (o *Owner) receivers(v *prim.View, r record, now time.Time) []prim.HostName {
	hosts, ok := orderedCandidates(v, r.ID, r.Created, now)
	if !ok {
		hosts = v.ServiceHosts(r.ID.Service)
	}
	position := slices.IndexFunc(hosts, func(h *prim.Host) bool { return h.Name == o.config.Host })
	var names []prim.HostName
	for i := range hosts {
		if h := hosts[(position+1+i)%len(hosts)]; h.Name != o.config.Host && h.State == prim.HostLive {
			names = append(names, h.Name)
		}
	}
	return names
}

// batchLen returns how many of the records, at least one, fit into one message.
func batchLen(records []record) int {
	size := records[0].size
	n := 1
	for n < len(records) && size+records[n].size <= handOverBatchBytes {
		size += records[n].size
		n++
	}
	return n
}

// sendRecords sends records to the preferred receiver or, if that fails, to the
// others in order. It returns the host that accepted them.
func (o *Owner) sendRecords(ctx context.Context, receivers []prim.HostName, preferred prim.HostName, records []record) (prim.HostName, error) {
	first := max(slices.Index(receivers, preferred), 0)
	var err error
	for i := range receivers {
		h := receivers[(first+i)%len(receivers)]
		if err = o.sendMessage(ctx, h, handOverMessage{Records: records}); err == nil {
			return h, nil
		}
	}
	return "", errors.Join(errNoReceiver, err)
}

// handleHandOver stores the records and the retirement of another host.
func (o *Owner) handleHandOver(_ context.Context, from prim.HostName, m prim.Message) (prim.Message, error) {
	var body handOverMessage
	if err := cbor.Unmarshal(m.Body, &body); err != nil {
		return prim.Message{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopping {
		return prim.Message{}, errors.New("this host is stopping too; send the records to another host")
	}
	now := time.Now()
	if body.Retired {
		retired := retiredHost{from, body.Since.UnixNano()}
		// No later instance runs keys either, so the earliest After remains
		// valid.
		if old, ok := o.retirements[retired]; !ok || body.After.Before(old) {
			o.retirements[retired] = body.After
		}
	}
	for _, r := range body.Records {
		if err := o.mergeRecord(from, r, now); err != nil {
			return prim.Message{}, err
		}
	}
	return prim.Message{Kind: "Accepted"}, nil
}

// retiredHost identifies an entry of the host list whose host has retired. The host
// list bounds the number of such entries.
type retiredHost struct {
	host  prim.HostName
	since int64
}

// lookupRefusal returns the refusal of a lookup that found no record. Its host is
// the last candidate whose tombstone was handed over to this host, which implies the
// tombstones of all candidates before it. The refusal has ReasonLeaving and names the
// candidate directly before this host instead if that one has retired and comes later
// in the order. The caller holds o.mu.
func (o *Owner) lookupRefusal(hosts []*prim.Host, created time.Time, e *entry) *prim.RefusalError {
	refusal := o.newRefusal(prim.ReasonNoRecord)
	position := slices.IndexFunc(hosts, func(h *prim.Host) bool { return h.Name == o.config.Host })
	if position > 0 {
		h := hosts[position-1]
		if createdAfter, ok := o.retirements[retiredHost{h.Name, h.Since.UnixNano()}]; ok && created.After(createdAfter) {
			refusal.Reason, refusal.Host = prim.ReasonLeaving, h.Name
		}
	}
	if e == nil {
		return refusal
	}
	for i, h := range slices.Backward(hosts) {
		if slices.Contains(e.tombstoneHosts, h.Name) {
			if refusal.Reason != prim.ReasonLeaving || i >= position-1 {
				refusal.Reason, refusal.Host = prim.ReasonNoRecord, h.Name
			}
			break
		}
	}
	return refusal
}

// mergeRecord merges a record into the table. A record of a run replaces a tombstone
// or an absent state, but never another record of a run.
func (o *Owner) mergeRecord(from prim.HostName, r record, now time.Time) error {
	e := o.table.find(r.ID, now)
	if e == nil {
		if e = o.table.add(r.ID, r.Created, now); e == nil {
			return errors.New("no memory left for idempotency records")
		}
	}
	switch {
	case r.State == stateDone || r.State == stateLost:
		if e.state != stateAbsent && e.state != stateTombstone {
			return nil
		}
		copy(e.digest[:], r.Digest)
		var a *prim.Answer
		if r.HasAnswer && prim.CheckStatus(r.Status) == nil {
			a = &prim.Answer{Status: r.Status, Header: r.Header, Body: r.Body}
		}
		o.table.finish(e, r.State, a)
	case r.State == stateTombstone:
		r.TombstoneHosts = append(r.TombstoneHosts, from)
	}
	for _, h := range r.TombstoneHosts {
		if !slices.Contains(e.tombstoneHosts, h) {
			e.tombstoneHosts = append(e.tombstoneHosts, h)
		}
	}
	return nil
}
