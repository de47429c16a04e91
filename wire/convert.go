package wire

import (
	"cmp"
	"errors"
	"net/http"
	"time"

	prim "github.com/primrosethread/primrosethread"
)

// This file converts between frame headers and the types of package prim.

// RequestHeader returns a header of type t for a request. The remaining times
// are computed relative to now.
func RequestHeader(t Type, r *prim.Request, now time.Time) Header {
	h := Header{
		Type:              t,
		Remaining:         r.Deadline.Sub(now),
		Service:           r.Service,
		Customer:          r.Customer,
		Class:             r.Class,
		Method:            r.Method,
		Path:              r.Path,
		HTTPFields:        flattenHeaders(r.Header),
		Idempotent:        r.Idempotent,
		Internal:          r.Internal,
		Key:               r.Key,
		Lookup:            r.Lookup,
		CallerID:          r.ID,
		Authority:         r.Authority,
		Origin:            r.Origin,
		Priority:          r.Priority,
		MaxQueueTime:      r.MaxQueueTime,
		PreviouslyRefused: r.PreviouslyRefused,
	}
	if !r.KeyCreated.IsZero() {
		h.KeyCreated = r.KeyCreated.UnixMilli()
	}
	if !r.Objective.IsZero() {
		h.Objective = r.Objective.Sub(now)
	}
	return h
}

// Request returns the request in a header and a body. Its deadline and objective
// are computed from the remaining times relative to now.
func (h *Header) Request(body []byte, now time.Time) *prim.Request {
	r := &prim.Request{
		Service:           h.Service,
		Customer:          h.Customer,
		Class:             h.Class,
		Method:            h.Method,
		Path:              h.Path,
		Header:            unflattenHeaders(h.HTTPFields),
		Body:              body,
		Idempotent:        h.Idempotent,
		Internal:          h.Internal,
		Key:               h.Key,
		Lookup:            h.Lookup,
		Deadline:          now.Add(min(h.Remaining, prim.MaxTimeout)),
		ID:                h.CallerID,
		Authority:         h.Authority,
		Origin:            h.Origin,
		Priority:          h.Priority,
		MaxQueueTime:      min(h.MaxQueueTime, prim.MaxTimeout),
		PreviouslyRefused: h.PreviouslyRefused,
	}
	if h.Objective != 0 {
		r.Objective = now.Add(min(h.Objective, prim.MaxTimeout))
	}
	if h.KeyCreated != 0 {
		r.KeyCreated = time.UnixMilli(h.KeyCreated)
	}
	return r
}

// AnswerHeader returns the header for an answer to call id.
func AnswerHeader(id uint64, a *prim.Answer) Header {
	return Header{
		Type:        Answer,
		ID:          id,
		Status:      a.Status,
		HTTPFields:  flattenHeaders(a.Header),
		Sample:      &a.Sample,
		ServiceTime: a.ServiceTime,
		More:        a.Rest != nil,
	}
}

// ErrorHeader returns the header for a call that ended with err: Refusal,
// Conflict or Lost.
func ErrorHeader(id uint64, err error) Header {
	var refusal *prim.RefusalError
	if prim.OutcomeOf(err) == prim.NotRun && errors.As(err, &refusal) {
		return Header{Type: Refusal, ID: id, Reason: refusal.Reason, Sample: &refusal.Sample, Host: refusal.Host, RetryAfter: refusal.RetryAfter}
	}
	var conflict *prim.KeyConflictError
	if errors.As(err, &conflict) {
		return Header{Type: Conflict, ID: id, Key: conflict.Key}
	}
	h := Header{Type: Lost, ID: id, Text: err.Error(), TimedOut: prim.IsTimeout(err)}
	var lost *prim.LostAnswerError
	if errors.As(err, &lost) {
		h.Reset = lost.Reset
		if lost.Cause != nil {
			h.Text = lost.Cause.Error()
		}
	}
	return h
}

// Result returns the answer or the error in the header and body that ended a
// request at the given host. An answer with an invalid status is a *prim.LostAnswerError,
// since the request has run.
func (h *Header) Result(host prim.HostName, body []byte) (*prim.Answer, error) {
	var sample prim.LoadSample
	if h.Sample != nil {
		sample = *h.Sample
	}
	switch h.Type {
	case Answer:
		if err := prim.CheckStatus(h.Status); err != nil {
			return nil, &prim.LostAnswerError{Host: host, Cause: err, Reset: true}
		}
		return &prim.Answer{
			Status: h.Status, Header: unflattenHeaders(h.HTTPFields), Body: body, Sample: sample, ServiceTime: h.ServiceTime, OwnerTime: h.OwnerTime,
		}, nil
	case Refusal:
		return nil, &prim.RefusalError{Reason: h.Reason, Host: cmp.Or(h.Host, host), Sample: sample, RetryAfter: h.RetryAfter, OwnerTime: h.OwnerTime}
	case Conflict:
		return nil, &prim.KeyConflictError{Key: h.Key}
	default:
		return nil, &prim.LostAnswerError{Host: host, Cause: &prim.LostCause{Text: h.Text, Timeout: h.TimedOut}, Reset: h.Reset}
	}
}

// flattenHeaders returns headers as a list of alternating names and values.
func flattenHeaders(h http.Header) []string {
	if len(h) == 0 {
		return nil
	}
	list := make([]string, 0, 2*len(h))
	for k, values := range h {
		for _, v := range values {
			list = append(list, k, v)
		}
	}
	return list
}

// unflattenHeaders is the inverse of flattenHeaders. The values share one array to save
// allocations.
func unflattenHeaders(list []string) http.Header {
	if len(list) == 0 {
		return nil
	}
	h := make(http.Header, len(list)/2)
	values := make([]string, 0, len(list)/2)
	for i := 0; i+1 < len(list); i += 2 {
		k, v := list[i], list[i+1]
		if previous, ok := h[k]; ok {
			h[k] = append(previous[:len(previous):len(previous)], v)
			continue
		}
		values = append(values, v)
		h[k] = values[len(values)-1:]
	}
	return h
}
