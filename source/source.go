// Package source reads the platform's configuration service.
//
// The service answers GET /v1/index with the digests of all documents and
// GET /v1/documents/{name} with one document. Every call counts as a read of
// the service, so the client never retries and never follows a redirect; the
// caller decides when to read again. Answers are bounded in size before they
// are decoded, and a document is returned only if its body has the hash that
// the service gave for it.
package source

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	prim "github.com/primrosethread/primrosethread"
)

// Bounds on the answers of the service.
const (
	// MaxIndex is the largest index that is read, in bytes. An entry takes about
	// 130 bytes, so this holds some 2,000 documents.
	MaxIndex = 256 << 10
	// maxEnvelope is room for the fields of a document besides its body.
	maxEnvelope = 4 << 10
	// DefaultTimeout bounds one call. The service answers within milliseconds;
	// a body of 1 MB over a slow link takes longer.
	DefaultTimeout = 2 * time.Second
)

// Error is the class of every error of this package.
var Error = errs.Class("platform")

// Config configures a Client.
type Config struct {
	// Base is the URL of the service without a path, for example
	// http://127.0.0.1:7000.
	Base string
	// Timeout bounds one call with its whole answer; zero means DefaultTimeout.
	Timeout time.Duration
	// RoundTripper sends the requests; nil means http.DefaultTransport.
	RoundTripper http.RoundTripper
}

// Client implements prim.Platform over HTTP. It is safe for concurrent use.
type Client struct {
	base *url.URL
	http http.Client
}

// New checks the configuration and returns a client. It makes no connection.
func New(c Config) (*Client, error) {
	u, err := url.Parse(c.Base)
	if err != nil {
		return nil, Error.New("base URL %q: %v; use a form like http://10.0.0.1:7000", c.Base, err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, Error.New("base URL %q has no http scheme or no host; use a form like http://10.0.0.1:7000", c.Base)
	}
	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}
	return &Client{base: u, http: http.Client{
		Transport: c.RoundTripper,
		Timeout:   c.Timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}, nil
}

// digest is the JSON form of prim.Digest. The hash is a string because JSON
// numbers lose precision above 2^53.
type digest struct {
	Name    string
	Version uint64
	Hash    string
	Issued  time.Time
}

func (d digest) parse() (prim.Digest, error) {
	h, err := strconv.ParseUint(d.Hash, 10, 64)
	if err != nil {
		return prim.Digest{}, Error.New("document %q version %d: hash %q is not a decimal uint64; check the service", d.Name, d.Version, d.Hash)
	}
	if d.Name == "" || d.Version == 0 {
		return prim.Digest{}, Error.New("document %q version %d: name or version is missing; check the service", d.Name, d.Version)
	}
	return prim.Digest{Name: d.Name, Version: d.Version, Hash: h, Issued: d.Issued}, nil
}

// Index returns the digests of all documents. An index with an invalid entry is
// refused as a whole, since it cannot be told what else is wrong with it.
func (c *Client) Index(ctx context.Context) ([]prim.Digest, error) {
	var answer struct{ Documents []digest }
	if err := c.get(ctx, MaxIndex, &answer, "v1", "index"); err != nil {
		return nil, err
	}
	ds := make([]prim.Digest, 0, len(answer.Documents))
	for _, e := range answer.Documents {
		d, err := e.parse()
		if err != nil {
			return nil, err
		}
		ds = append(ds, d)
	}
	return ds, nil
}

// Read returns the current version of one document. A body that does not have
// the hash given with it is an error.
func (c *Client) Read(ctx context.Context, name string) (prim.Document, error) {
	var answer struct {
		digest
		Body json.RawMessage
	}
	if err := c.get(ctx, prim.MaxDocument+maxEnvelope, &answer, "v1", "documents", name); err != nil {
		return prim.Document{}, err
	}
	d, err := answer.parse()
	if err != nil {
		return prim.Document{}, err
	}
	if d.Name != name {
		return prim.Document{}, Error.New("asked for document %q and received %q; check the service", name, d.Name)
	}
	if len(answer.Body) > prim.MaxDocument {
		return prim.Document{}, Error.New("document %q version %d has %d bytes, more than %d; make it smaller", name, d.Version, len(answer.Body), prim.MaxDocument)
	}
	if h := xxh3.Hash(answer.Body); h != d.Hash {
		return prim.Document{}, Error.New("document %q version %d: body has hash %d, not %d as given; it was damaged on the way, read it again", name, d.Version, h, d.Hash)
	}
	return prim.Document{Digest: d, Body: answer.Body}, nil
}

func (c *Client) get(ctx context.Context, limit int64, into any, path ...string) error {
	for i := range path {
		path[i] = url.PathEscape(path[i])
	}
	u := c.base.JoinPath(path...).String()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	r.Header.Set("Accept", "application/json")
	a, err := c.http.Do(r)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		// Reading a short error body lets the connection be used again.
		_, _ = io.CopyN(io.Discard, a.Body, 4<<10)
		return Error.New("GET %s: status %d; check the service", u, a.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err != nil {
		return Error.New("GET %s: answer was cut: %v; read it again", u, err)
	}
	if int64(len(b)) > limit {
		return Error.New("GET %s: answer is longer than %d bytes; check the service", u, limit)
	}
	if err := json.Unmarshal(b, into); err != nil {
		return Error.New("GET %s: answer is not the expected JSON: %v; check the service", u, err)
	}
	return nil
}

var _ prim.Platform = (*Client)(nil)
