package config_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/config"
)

var tokenHash = strings.Repeat("0a", 32)

// validDocuments holds the body of a valid document of each name. Tests
// invalidate one by replacing a part of it.
var validDocuments = map[string]string{
	prim.NamePlans: `{"Customers":[{"Name":"a","Plan":"gold","Credentials":["` + tokenHash + `"]},
		{"Name":"b","Plan":"gold","Credentials":[],"Internal":true}]}`,
	prim.NameAllowances: `{"Plans":[{"Name":"gold","Allowances":[{"Service":"bookings","Rate":5.5,"Burst":10}]}],
		"Routes":[{"Service":"bookings","Method":"POST","Path":"/deposits","Class":"Deposit"}]}`,
	prim.NameDataCentres: `{"DataCentres":[{"Name":"hobart","Region":"south","InService":true}],"HostsOut":["h1"]}`,
	prim.NameHosts: `{"Services":[{"Name":"bookings","Since":"2026-01-01T00:00:00Z","Slots":9,"Connections":200}],
		"Hosts":[{"Name":"h1","DataCentre":"hobart","Service":"bookings","Address":"10.0.0.1:7070","State":"Live","Since":"2026-01-01T00:00:00Z"},
		{"Name":"h1","DataCentre":"hobart","Service":"bookings","Address":"10.0.0.1:7070","State":"Lost","Since":"2026-01-01T00:00:00Z","Until":"2026-02-01T00:00:00Z"}]}`,
}

// Guards against valid documents being rejected and against a view that lacks
// one of them.
func TestViewOfValidDocuments(t *testing.T) {
	is := is.New(t)
	var docs []prim.Document
	for name, body := range validDocuments {
		docs = append(docs, prim.Document{Digest: prim.Digest{Name: name, Version: 3}, Body: []byte(body)})
	}
	v, findings, err := config.NewView(docs)
	is.NoErr(err)
	is.Equal(len(findings), 0)
	is.Equal(len(v.Digests), 4)
	is.Equal(v.Allowance("a", "bookings").Rate, 5.5)
	is.True(!v.Route("bookings", "POST", "/deposits").Idempotent)
	h, ok := v.Host("h1")
	is.True(ok)
	is.Equal(h.Address.String(), "10.0.0.1:7070")
	is.True(v.IsHostOut(h))
	is.Equal(h.Since, time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
}

// Guards against an invalid value being accepted, and against an error that
// does not name the place, the value and the remedy.
func TestInvalidDocuments(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		// Invalid syntax, types and fields.
		{"Plans", `true}]}`, `true}]`, "Plans: line 2, column 62 is not valid JSON (unexpected end of JSON input); correct the syntax there"},
		{"Plans", `"Credentials":[]`, `"Credentials":[`, "is not valid JSON"},
		{"Plans", `{"Customers"`, `{} {"Customers"`, "line 1, column 4 is not valid JSON (invalid character '{' after top-level value)"},
		{"Plans", `"Credentials":[]`, `"Credentials":{"a":[1]}`, "Plans.Customers[1].Credentials: an object has the wrong type; write a list"},
		{"Plans", `"Internal":true`, `"Internal":null`, "Plans.Customers[1].Internal: null has the wrong type; write true or false"},
		{"Plans", `"Plan":"gold","Credentials":[]`, `"Plan":7,"Credentials":[]`, "Plans.Customers[1].Plan: 7 has the wrong type; write a string"},
		{"Plans", `"Internal"`, `"internal"`, `Plans.Customers[1]: "internal" is not a field; remove it or correct its name; the fields are Name, Plan, Credentials, Internal`},
		{"Plans", `"Internal":true`, `"Plan":"x"`, "Plans.Customers[1]: \"Plan\" is given twice"},
		{"Allowances", `"Rate":5.5`, `"Rate":1e999`, "Allowances.Plans[0].Allowances[0].Rate: 1e999 has the wrong type; write a number that fits 64 bits"},
		{"Hosts", `"Slots":9`, `"Slots":9.5`, "Hosts.Services[0].Slots: 9.5 has the wrong type; write a whole number"},
		{"Hosts", `10.0.0.1:7070`, `h1:7070`, "Hosts.Hosts[0].Address: \"h1:7070\" has the wrong form; write an IP address and port"},
		{"Hosts", `2026-02-01T00:00:00Z`, `yesterday`, "Hosts.Hosts[1].Until: \"yesterday\" has the wrong form; write a time such as"},
		// Values that are out of range or inconsistent.
		{"Plans", `"b"`, `"a"`, `Plans.Customers[1].Name: "a" is given twice`},
		{"Plans", `"b"`, `"b\n"`, `Plans.Customers[1].Name: "b\n" is not a name`},
		{"Plans", tokenHash, "my token", "Plans.Customers[0].Credentials[0]: a text of 8 bytes is not a SHA-256 hash"},
		{"Plans", `"Credentials":[]`, `"Credentials":["` + tokenHash + `"]`, `Plans.Customers[1].Credentials[0]: "` + tokenHash + `" is also a credential of customer "a"`},
		{"Allowances", `5.5`, `-1`, "Allowances.Plans[0].Allowances[0].Rate: -1 is not a rate"},
		{"Allowances", `"Burst":10`, `"Burst":0.5`, "Allowances.Plans[0].Allowances[0].Burst: 0.5 lets no request through"},
		{"Allowances", `"POST"`, `"post"`, `Allowances.Routes[0].Method: "post" is not a method`},
		{"Allowances", `"/deposits"`, `"deposits"`, `Allowances.Routes[0].Path: "deposits" is not a path prefix`},
		{"DataCentres", `"south"`, `""`, `DataCentres.DataCentres[0].Region: "" is not a name`},
		{"Hosts", `"Slots":9`, `"Slots":0`, "Hosts.Services[0].Slots: 0 is not a number of slots; write 1 to 10000"},
		{"Hosts", `"Connections":200`, `"Connections":8`, "Hosts.Services[0].Connections: 8 is not a number of connections"},
		{"Hosts", `10.0.0.1:7070`, `0.0.0.0:7070`, "Hosts.Hosts[0].Address: \"0.0.0.0:7070\" is not an address of a node"},
		{"Hosts", `,"Until":"2026-02-01T00:00:00Z"`, ``, "Hosts.Hosts[1].Until:"},
		{"Hosts", `"Live"`, `"live"`, `Hosts.Hosts[0].State: "live" is not a state; write Live, Leaving or Lost`},
		{"Hosts", `"Lost"`, `"Leaving"`, `Hosts.Hosts[1].Name: "h1" is given twice`},
		{"Hosts", `"Service":"bookings"`, `"Service":"payments"`, `Hosts.Hosts[0].Service: "payments" is not a known service`},
		{"Hosts", `"bookings"`, `"peer"`, `Hosts.Services[0].Name: "peer" is reserved`},
	} {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			body := strings.Replace(validDocuments[c.name], c.old, c.new, 1)
			is.True(body != validDocuments[c.name])
			err := config.Check(c.name, []byte(body))
			var findings config.Findings
			is.True(errors.As(err, &findings))
			is.True(config.Error.Has(err))
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("got  %v\nwant %s", err, c.want)
			}
		})
	}
}

// Guards against errors, and so logs, that contain a token which was published
// by mistake in place of its hash.
func TestFindingOmitsToken(t *testing.T) {
	is := is.New(t)
	err := config.Check(prim.NamePlans, []byte(strings.Replace(validDocuments[prim.NamePlans], tokenHash, "hunter2-token", 1)))
	is.True(err != nil)
	is.True(!strings.Contains(err.Error(), "hunter2"))
}

// Guards against an invalid document replacing the valid one in a Set.
func TestInvalidDocumentLeavesSetUnchanged(t *testing.T) {
	is := is.New(t)
	var s config.Set
	is.NoErr(s.Parse(prim.NamePlans, []byte(validDocuments[prim.NamePlans])))
	is.True(s.Parse(prim.NamePlans, []byte(`{"Customers":[{}]}`)) != nil)
	is.Equal(len(s.Plans.Customers), 2)
}

// Guards against parsing a document that is larger than the platform's limit,
// and against errors so long that they flood the log.
func TestSizeLimits(t *testing.T) {
	is := is.New(t)
	err := config.Check(prim.NamePlans, make([]byte, prim.MaxDocumentBytes+1))
	is.True(strings.Contains(err.Error(), "Plans: 1048577 bytes are more than the platform holds; shorten the document to at most 1048576 bytes"))

	err = config.Check(prim.NamePlans, []byte(`{"Customers":[`+strings.Repeat(`{},`, 5000)+`{}]}`))
	var findings config.Findings
	is.True(errors.As(err, &findings))
	is.Equal(len(findings), 100)
	long := strings.Repeat("x", 1000)
	err = config.Check(prim.NamePlans, []byte(`{"Customers":[{"Name":"`+long+`"}]}`))
	is.True(!strings.Contains(err.Error(), long))
	err = config.Check(prim.NamePlans, []byte(strings.Replace(validDocuments[prim.NamePlans], `"Credentials":[]`,
		`"Credentials":[`+strings.Repeat(`"",`, 16)+`""]`, 1)))
	is.True(strings.Contains(err.Error(), "Plans.Customers[1].Credentials: 17 entries are too many; keep at most 16"))
}

// Guards against a dangling reference that the check command accepts.
func TestCheckReferences(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"Plans", `"gold","Credentials":[]`, `"silver","Credentials":[]`, `Plans.Customers[1].Plan: "silver" is not a known plan`},
		{"Allowances", `[{"Service":"bookings"`, `[{"Service":"x"`, `Allowances.Plans[0].Allowances[0].Service: "x" is not a known service`},
		{"Allowances", `"Routes":[{"Service":"bookings"`, `"Routes":[{"Service":"x"`, `Allowances.Routes[0].Service: "x" is not a known service`},
		{"DataCentres", `"hobart"`, `"perth"`, `Hosts.Hosts[0].DataCentre: "hobart" is not a known data centre`},
		{"DataCentres", `"h1"`, `"h2"`, `DataCentres.HostsOut[0]: "h2" is not a known host`},
	} {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			var s config.Set
			for name, body := range validDocuments {
				if name == c.name {
					body = strings.Replace(body, c.old, c.new, 1)
					is.True(body != validDocuments[name])
				}
				is.NoErr(s.Parse(name, []byte(body)))
			}
			is.True(strings.Contains(s.CheckReferences().Error(), c.want))
		})
	}
}

// Guards against a body that makes the decoder panic, and against one that is
// accepted although it is not valid JSON.
func TestMutatedBodies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom(prim.DocumentNames[:]).Draw(t, "name")
		body := []byte(validDocuments[name])
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			i := rapid.IntRange(0, len(body)-1).Draw(t, "at")
			body[i] = rapid.SampledFrom([]byte(`{}[]",:0e-.nut \x`)).Draw(t, "byte")
		}
		if config.Check(name, body) == nil && !json.Valid(body) {
			t.Fatalf("accepted %s", body)
		}
	})
}

// ExampleCheck shows the error about an invalid value.
func ExampleCheck() {
	err := config.Check(prim.NameAllowances, []byte(`{"Plans":[{"Name":"gold","Allowances":[
		{"Service":"bookings","Rate":-5,"Burst":10}]}],"Routes":[]}`))
	fmt.Println(err)
	// Output:
	// config: Allowances.Plans[0].Allowances[0].Rate: -5 is not a rate; write requests a second from 0 to 1e9
}

// BenchmarkParse measures parsing and validating a customer list near the
// platform's size limit.
func BenchmarkParse(b *testing.B) {
	var p prim.Plans
	for i := range 7000 {
		p.Customers = append(p.Customers, prim.CustomerEntry{
			Name: prim.Customer(fmt.Sprintf("customer-%d", i)), Plan: "gold", Credentials: []string{fmt.Sprintf("%064x", i)}})
	}
	body, err := json.Marshal(p)
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if err := config.Check(prim.NamePlans, body); err != nil {
			b.Fatal(err)
		}
	}
}
