package config

import (
	"fmt"

	prim "github.com/primrosethread/primrosethread"
)

// Set holds parsed documents. A nil field is a document that was not received.
// A Set may be copied; parsing a document into the copy leaves the original as
// it is, so a caller can try a new version and keep the old one.
type Set struct {
	Plans       *prim.Plans
	Allowances  *prim.Allowances
	DataCentres *prim.DataCentres
	Hosts       *prim.Hosts
}

// Parse parses and checks one document and puts it into the set. If it is
// refused the set stays as it was. Checks that need other documents are made by
// CheckAcross.
func (s *Set) Parse(name string, body []byte) error {
	if len(body) > prim.MaxDocument {
		var f Findings
		f.add(unshown(fmt.Sprintf("%d bytes", len(body))), "are more than the platform holds",
			fmt.Sprintf("shorten the document to at most %d bytes", prim.MaxDocument), "%s", name)
		return f.err()
	}
	switch name {
	case prim.NamePlans:
		return parse(&s.Plans, name, body, checkPlans)
	case prim.NameAllowances:
		return parse(&s.Allowances, name, body, checkAllowances)
	case prim.NameDataCentres:
		return parse(&s.DataCentres, name, body, checkDataCentres)
	case prim.NameHosts:
		return parse(&s.Hosts, name, body, checkHosts)
	}
	var f Findings
	f.add(name, "is not a document", fmt.Sprintf("use one of the names %v", prim.DocumentNames), "document")
	return f.err()
}

// parse decodes and checks a document. Values are checked only if the decoding
// found nothing, since a field that was skipped would be reported twice.
func parse[T any](into **T, name string, body []byte, check func(*T) Findings) error {
	d := new(T)
	f := decode(name, body, d)
	if len(f) == 0 {
		f = check(d)
	}
	if len(f) == 0 {
		*into = d
	}
	return f.err()
}

// Check parses and checks one document by itself.
func Check(name string, body []byte) error {
	var s Set
	return s.Parse(name, body)
}

// CheckAcross checks the references between the documents of the set. It
// returns findings, not an error, because documents change at different times:
// a node that refused a customer list which names the plan of an allowance list
// still on its way would be stuck. A reference to nothing grants nothing, so a
// node reports the findings and goes on. The check command refuses them.
func (s *Set) CheckAcross() Findings {
	var f Findings
	if s.Plans != nil && s.Allowances != nil {
		plans := make(map[string]bool)
		for _, p := range s.Allowances.Plans {
			plans[p.Name] = true
		}
		for i, c := range s.Plans.Customers {
			if !plans[c.Plan] {
				f.add(c.Plan, "is not a known plan", "add it to Allowances.Plans or correct the name", "Plans.Customers[%d].Plan", i)
			}
		}
	}
	if s.Hosts == nil {
		return f
	}
	if s.Allowances != nil {
		s.services(&f)
	}
	if s.DataCentres != nil {
		s.centres(&f)
	}
	return f
}

// services checks the services that the allowances and routes name.
func (s *Set) services(f *Findings) {
	known := make(map[prim.Service]bool)
	for _, e := range s.Hosts.Services {
		known[e.Name] = true
	}
	const problem, remedy = "is not a known service", "correct the name; the host list names the services"
	for i, p := range s.Allowances.Plans {
		for j, a := range p.Allowances {
			if !known[a.Service] {
				f.add(string(a.Service), problem, remedy, "Allowances.Plans[%d].Allowances[%d].Service", i, j)
			}
		}
	}
	for i, r := range s.Allowances.Routes {
		if !known[r.Service] {
			f.add(string(r.Service), problem, remedy, "Allowances.Routes[%d].Service", i)
		}
	}
}

// centres checks the data centres of the hosts and the hosts taken out.
func (s *Set) centres(f *Findings) {
	known := make(map[prim.DataCentre]bool)
	for _, c := range s.DataCentres.DataCentres {
		known[c.Name] = true
	}
	hosts := make(map[prim.HostName]bool)
	for i, h := range s.Hosts.Hosts {
		hosts[h.Name] = true
		if !known[h.DataCentre] {
			f.add(string(h.DataCentre), "is not a known data centre", "add it to DataCentres.DataCentres or correct the name",
				"Hosts.Hosts[%d].DataCentre", i)
		}
	}
	for i, h := range s.DataCentres.HostsOut {
		if !hosts[h] {
			f.add(string(h), "is not a known host", "correct the name, or remove it if the host is gone", "DataCentres.HostsOut[%d]", i)
		}
	}
}

// View indexes the documents of the set. The digests are kept as they are.
func (s *Set) View(digests map[string]prim.Digest) *prim.View {
	c := prim.ViewConfig{Digests: digests}
	if s.Plans != nil {
		c.Plans = *s.Plans
	}
	if s.Allowances != nil {
		c.Allowances = *s.Allowances
	}
	if s.DataCentres != nil {
		c.DataCentres = *s.DataCentres
	}
	if s.Hosts != nil {
		c.Hosts = *s.Hosts
	}
	return prim.NewView(c)
}

// View builds a view from documents. Its findings are those of CheckAcross; its
// error tells which documents are refused.
func View(docs []prim.Document) (*prim.View, Findings, error) {
	var s Set
	digests := make(map[string]prim.Digest, len(docs))
	for _, d := range docs {
		if err := s.Parse(d.Name, d.Body); err != nil {
			return nil, nil, err
		}
		digests[d.Name] = d.Digest
	}
	return s.View(digests), s.CheckAcross(), nil
}
