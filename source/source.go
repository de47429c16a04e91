// Package source is a client of the platform's configuration service.
//
// The service responds to GET /v1/index with the digests of all documents and to
// GET /v1/documents/{name} with one document. Every request counts as a read of
// the service, so the client never retries and never follows a redirect; the
// caller decides when to read again. The size of a response is limited before it
// is decoded, and a document is returned only if its body has the hash that the
// service gave for it.
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

// Limits on a request and its response.
const (
	// MaxIndexBytes is the size of the largest index that is read. An entry takes
	// about 130 bytes, so an index can have about 2,000 documents.
	MaxIndexBytes = 256 << 10
	// maxEnvelopeBytes bounds the fields of a document other than its body.
	maxEnvelopeBytes = 4 << 10
	// DefaultTimeout is the default of Config.Timeout. The service answers within
	// milliseconds, but a body of 1 MB over a slow link takes longer.
	DefaultTimeout = 2 * time.Second
)

// Error is the class of every error of this package.
var Error = errs.Class("platform")

// Config configures a Client.
type Config struct {
	// Base is the URL of the service without a path, for example
	// http://127.0.0.1:7000.
	Base string
	// Timeout bounds one request including reading its response; zero means
	// DefaultTimeout.
	Timeout time.Duration
	// RoundTripper sends the requests; nil means http.DefaultTransport.
	RoundTripper http.RoundTripper
}

// Client implements prim.Platform over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL    *url.URL
	httpClient http.Client
}

// New validates the configuration and returns a client. It does not connect.
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
	return &Client{baseURL: u, httpClient: http.Client{
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
// rejected as a whole, since its other entries may be wrong too.
func (c *Client) Index(ctx context.Context) ([]prim.Digest, error) {
	var response struct{ Documents []digest }
	if err := c.get(ctx, MaxIndexBytes, &response, "v1", "index"); err != nil {
		return nil, err
	}
	ds := make([]prim.Digest, 0, len(response.Documents))
	for _, entry := range response.Documents {
		d, err := entry.parse()
		if err != nil {
			return nil, err
		}
		ds = append(ds, d)
	}
	return ds, nil
}

// Read returns the current version of one document. It returns an error if the body
// does not match the hash in the response.
func (c *Client) Read(ctx context.Context, name string) (prim.Document, error) {
	var response struct {
		digest
		Body json.RawMessage
	}
	if err := c.get(ctx, prim.MaxDocumentBytes+maxEnvelopeBytes, &response, "v1", "documents", name); err != nil {
		return prim.Document{}, err
	}
	d, err := response.parse()
	if err != nil {
		return prim.Document{}, err
	}
	if d.Name != name {
		return prim.Document{}, Error.New("requested document %q and received %q; check the service", name, d.Name)
	}
	if len(response.Body) > prim.MaxDocumentBytes {
		return prim.Document{}, Error.New("document %q version %d has %d bytes, more than %d; make it smaller", name, d.Version, len(response.Body), prim.MaxDocumentBytes)
	}
	if h := xxh3.Hash(response.Body); h != d.Hash {
		return prim.Document{}, Error.New("document %q version %d: body has hash %d, but the response gives %d; it was corrupted in transit, read it again", name, d.Version, h, d.Hash)
	}
	return prim.Document{Digest: d, Body: response.Body}, nil
}

// get requests a path and decodes the JSON response, of at most limit bytes, into
// result.
func (c *Client) get(ctx context.Context, limit int64, result any, path ...string) error {
	for i := range path {
		path[i] = url.PathEscape(path[i])
	}
	u := c.baseURL.JoinPath(path...).String()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	request.Header.Set("Accept", "application/json")
	response, err := c.httpClient.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		// Reading a short error body to its end allows the connection to be reused.
		_, _ = io.CopyN(io.Discard, response.Body, 4<<10)
		return Error.New("GET %s: status %d; check the service", u, response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return Error.New("GET %s: response was truncated: %v; read it again", u, err)
	}
	if int64(len(body)) > limit {
		return Error.New("GET %s: response is longer than %d bytes; check the service", u, limit)
	}
	if err := json.Unmarshal(body, result); err != nil {
		return Error.New("GET %s: response is not the expected JSON: %v; check the service", u, err)
	}
	return nil
}

var _ prim.Platform = (*Client)(nil)
