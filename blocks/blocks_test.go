package blocks_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/blocks"
)

// fakeBudget is a prim.MemoryBudget with a limit.
type fakeBudget struct{ limit, used, most int }

func (b *fakeBudget) Reserve(n int) bool {
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	b.most = max(b.most, b.used)
	return true
}

func (b *fakeBudget) Release(n int) { b.used -= n }

// shortFields returns fields with different short names and the same value, at least n bytes.
func shortFields(n int, value string) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":" + value + "\r\n")
	}
	return b.String()
}

// Guards against an answer whose header takes more memory when it is parsed than is charged
// before: many short fields, long ones, and lists from which the parser makes entries.
func TestMeterCoversParser(t *testing.T) {
	const size = 31 << 10
	names := strings.ReplaceAll(shortFields(2*size, ""), ":\r\n", ",")[:size]
	for name, fields := range map[string]string{
		"no field":         "",
		"one field":        "X: " + strings.Repeat("x", size) + "\r\n",
		"thirty fields":    shortFields(30*50, strings.Repeat("x", 40)),
		"many fields":      shortFields(size, "1"),
		"fields with text": shortFields(size, "12345678"),
		"empty fields":     shortFields(size, ""),
		"line feeds only":  strings.ReplaceAll(shortFields(size, ""), "\r", ""),
		"the same field":   strings.Repeat("a:\r\n", size/4),
		"trailer names":    "Transfer-Encoding: chunked\r\ntrailer:" + names + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			head := "HTTP/1.1 200 OK\r\n" + fields + "\r\n"
			budget := &fakeBudget{limit: 1 << 30}
			meter := blocks.Meter{Memory: budget}
			is.NoErr(meter.Add([]byte(head)))
			in := bufio.NewReader(nil)
			const times = 20
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range times {
				in.Reset(strings.NewReader(head))
				_, err := http.ReadResponse(in, nil)
				is.NoErr(err)
			}
			runtime.ReadMemStats(&after)
			if cost, charge := int(after.TotalAlloc-before.TotalAlloc)/times, max(blocks.FreeCost, budget.used); cost > charge {
				t.Errorf("parsing allocates %d bytes, %d are charged", cost, charge)
			}
			is.Equal(meter.Take(), budget.used)
			meter.Reset()
			is.Equal(blocks.Fields([]byte(head)) >= strings.Count(head, "\n"), true)
		})
	}
}

// Guards against a charge that depends on the sizes of reads, counts the bytes of a body, goes
// over the budget, or is kept.
func TestMeterInParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		fields := rapid.IntRange(0, 3000).Draw(t, "fields")
		head := "HTTP/1.1 200 OK\r\n" + strings.Repeat("ab: c\r\n", fields) + "\r\n"
		sent := []byte(head + strings.Repeat("\n", rapid.IntRange(0, 3000).Draw(t, "body")))
		budget := &fakeBudget{limit: rapid.IntRange(0, 3<<20).Draw(t, "limit")}
		meter := blocks.Meter{Memory: budget}
		var err error
		for len(sent) > 0 && err == nil {
			n := min(len(sent), rapid.IntRange(1, 8<<10).Draw(t, "read"))
			err = meter.Add(sent[:n])
			sent = sent[n:]
		}
		cost := prim.HeaderCost(len(head), fields+2)
		is.True(budget.most <= budget.limit)
		if err != nil {
			is.True(errors.Is(err, blocks.ErrNoMemory))
			is.True(3*cost > budget.limit) // while it grows, the smaller reservation is held too
		} else {
			is.True(cost <= blocks.FreeCost || budget.used >= cost)
			is.True(budget.used <= max(2*cost, blocks.FreeCost))
		}
		meter.Reset()
		is.Equal(budget.used, 0)
	})
}

// Guards against trailers that are parsed or passed on, against a body that appears whole
// although its end is missing or malformed, and against a panic on an empty line among trailers.
func TestChunkedBody(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]error{
		"1\r\nx\r\n0\r\n\r\n":                               nil,
		"1\r\nx\r\n0\r\nA: b\r\nC: d\r\n\r\n":               nil,
		"1\r\nx\r\n0\r\n":                                   io.ErrUnexpectedEOF,
		"1\r\nx\r\n0\r\nA: b\r\n":                           io.ErrUnexpectedEOF,
		"1\r\nx\r\n0\r\n" + shortFields(9000, "1") + "\r\n": blocks.ErrLongTrailers,
		"1\r\nx\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n":            blocks.ErrMalformedTrailers,
		"1\r\nx\r\n0\r\nA: b\tc\r\n \x80\r\n\r\n":           nil,
		"1\r\nx\r\n0\r\nA(: b\r\n\r\n":                      blocks.ErrMalformedTrailers,
		"1\r\nx\r\n0\r\nA\xe4: b\r\n\r\n":                   blocks.ErrMalformedTrailers,
		"1\r\nx\r\n0\r\n!#$%&'*+-.^_`|~09azAZ: b\r\n\r\n":   nil,
		"1\r\nx\r\n0\r\nA: b\r\r\n\r\n":                     blocks.ErrMalformedTrailers,
		"1\r\nx\r\n0\r\nA: b\rC: d\r\n\r\n":                 blocks.ErrMalformedTrailers,
		"1\r\nx\r\n0\r\nA: b\x00\r\n\r\n":                   blocks.ErrMalformedTrailers,
		"1\r\nx\r\n0\r\nA: b\r\n c\x7f\r\n\r\n":             blocks.ErrMalformedTrailers,
		"1\r\nx\r\n0\r\nA: b\n\nC: d\r\n\r\n":               blocks.ErrMalformedTrailers,
		"1\r\nx\r\n0\r\n\nC: d\r\n\r\n":                     blocks.ErrMalformedTrailers,
		"1\r\nx\r\n0\r\nA: b\n\r\nC: d\r\n\r\n":             blocks.ErrMalformedTrailers,
		"1\r\nx\r\n0\r\nA: b\n\n\r\n\r\n":                   blocks.ErrMalformedTrailers,
	} {
		in := bufio.NewReader(strings.NewReader(text + "next"))
		if want == io.ErrUnexpectedEOF {
			in = bufio.NewReader(strings.NewReader(text))
		}
		var got bytes.Buffer
		_, err := got.ReadFrom(blocks.NewChunkedBody(in))
		is.Equal(err, want)
		is.Equal(got.String(), "x")
		if want == nil {
			rest, err := io.ReadAll(in)
			is.NoErr(err)
			is.Equal(string(rest), "next")
		}
	}
}
