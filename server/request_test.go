package server

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
)

// Guards against a target that is encoded anew: the server runs a request for another resource
// than the client has asked for.
func TestTargetIsSentUnchanged(t *testing.T) {
	c := New(Config{Address: netip.MustParseAddrPort("127.0.0.1:1"), OmitNodeHeaders: true})
	check := func(t interface{ Fatalf(string, ...any) }, sent, want string) {
		var written bytes.Buffer
		r := &prim.Request{Method: "GET", Path: sent, Authority: "a.example", Deadline: time.Now().Add(time.Minute)}
		if err := c.writeRequest(bufio.NewWriter(&written), r, &connection{}); err != nil {
			t.Fatalf("%q: %v", sent, err)
		}
		if got := written.String(); got != "GET "+want+" HTTP/1.1\r\nHost: a.example\r\n\r\n" {
			t.Fatalf("%q: got %q, want the target %q", sent, got, want)
		}
	}
	for _, target := range []string{
		"/", "/slots/a%2Fb|c", "/slots/a|b?day=5|6", "/a%7cb", "/a\"<>\\^`{}b", "/\xc3\xa4", "/\xff", "//a|b", "//a%2Fb", "/a//b/../c",
		"/a?", "/a??b", "/a?b=%2F|", "/a#b", "/a?b#c", "/a;b", "/%", "*",
	} {
		check(t, target, target)
	}
	check(t, "http://a.example/a%2Fb|c?d|e", "/a%2Fb|c?d|e")
	check(t, "http://a.example?b", "/?b")
	check(t, "http://a.example", "/")
	check(t, "/from the settings", "/from%20the%20settings")
	rapid.Check(t, func(t *rapid.T) {
		target := "/" + rapid.StringMatching(`[!-~\x{80}-\x{10ffff}]*`).Draw(t, "target")
		check(t, target, target)
	})
}

// Guards against header fields that are added or lost, a body without its length, and a request
// that is smuggled through its method or authority.
func TestRequestIsSentUnchanged(t *testing.T) {
	is := is.New(t)
	c := New(Config{Address: netip.MustParseAddrPort("127.0.0.1:1"), OmitNodeHeaders: true})
	write := func(method, authority, body string, header http.Header) (string, error) {
		var written bytes.Buffer
		r := &prim.Request{Method: method, Path: "/", Authority: authority, Header: header, Body: []byte(body), Deadline: time.Now().Add(time.Minute)}
		err := c.writeRequest(bufio.NewWriter(&written), r, &connection{})
		return written.String(), err
	}
	for _, e := range []struct{ method, authority, body, want string }{
		{"GET", "a", "", "GET / HTTP/1.1\r\nHost: a\r\n"},
		{"", "", "", "GET / HTTP/1.1\r\nHost: 127.0.0.1:1\r\n"},
		{"POST", "a", "", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"},
		{"DELETE", "a", "body", "DELETE / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"},
	} {
		got, err := write(e.method, e.authority, e.body, http.Header{
			"Accept": {"x", "y"}, "Connection": {"Private"}, "Private": {"x"}, "Content-Length": {"9"}, "Transfer-Encoding": {"chunked"}, "Host": {"b"}, "Trailer": {"T"},
		})
		is.NoErr(err)
		is.Equal(got, e.want+"Accept: x\r\nAccept: y\r\n\r\n"+e.body)
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(got)))
		is.NoErr(err)
		read, err := io.ReadAll(r.Body)
		is.NoErr(err)
		is.Equal(string(read), e.body)
	}
	for _, text := range []string{"a b", "a\r\nb: c", "a\n", "\x7f"} {
		for _, e := range [][2]string{{text, "a"}, {"GET", text}} {
			got, err := write(e[0], e[1], "", nil)
			is.Equal(err, errInvalidRequest)
			is.Equal(got, "")
		}
	}
}
