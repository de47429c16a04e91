package config

import (
	"fmt"

	prim "github.com/primrosethread/primrosethread"
)

// Set holds parsed documents. A nil field means that the document has not been
// received. A Set may be copied. Parsing a document into the copy leaves the
// original unchanged, so a caller can try a new version and keep the old one.
type Set struct {
	Plans       *prim.Plans
	Allowances  *prim.Allowances
	DataCentres *prim.DataCentres
	Hosts       *prim.Hosts
}

// Parse parses and validates one document and stores it in the set. If the
// document is invalid the set does not change. References to other documents
// are checked by CheckReferences.
func (s *Set) Parse(name string, body []byte) error {
	if len(body) > prim.MaxDocumentBytes {
		var f Findings
		f.add(description(fmt.Sprintf("%d bytes", len(body))), "are more than the platform holds",
			fmt.Sprintf("shorten the document to at most %d bytes", prim.MaxDocumentBytes), "%s", name)
		return f.err()
	}
	switch name {
	case prim.NamePlans:
		return parseDocument(&s.Plans, name, body, checkPlans)
	case prim.NameAllowances:
		return parseDocument(&s.Allowances, name, body, checkAllowances)
	case prim.NameDataCentres:
		return parseDocument(&s.DataCentres, name, body, checkDataCentres)
	case prim.NameHosts:
		return parseDocument(&s.Hosts, name, body, checkHosts)
	}
	var f Findings
	f.add(name, "is not a document", fmt.Sprintf("use one of the names %v", prim.DocumentNames), "document")
	return f.err()
}

// parseDocument decodes and validates a document and stores it in dst if it is valid.
// Values are checked only if decoding reported nothing, since a field that the
// decoder skipped would be reported twice.
func parseDocument[T any](dst **T, name string, body []byte, check func(*T) Findings) error {
	d := new(T)
	f := decodeDocument(name, body, d)
	if len(f) == 0 {
		f = check(d)
	}
	if len(f) == 0 {
		*dst = d
	}
	return f.err()
}

// Check parses and validates one document on its own.
func Check(name string, body []byte) error {
	var s Set
	return s.Parse(name, body)
}

// CheckReferences checks the references between the documents of the set. It
// returns findings, not an error, because documents are updated at different
// times: a node would be stuck if it rejected a customer list that names a plan
// of an allowance list which has not yet arrived. A dangling reference grants
// nothing, so a node reports the findings and continues. The check command
// treats them as errors.
func (s *Set) CheckReferences() Findings {
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
		s.checkServiceNames(&f)
	}
	if s.DataCentres != nil {
		s.checkDataCentreNames(&f)
	}
	return f
}

// checkServiceNames checks that the services named by allowances and routes are
// in the host list.
func (s *Set) checkServiceNames(f *Findings) {
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

// checkDataCentreNames checks that the data centres of the hosts are known and
// that the hosts taken out of service are in the host list.
func (s *Set) checkDataCentreNames(f *Findings) {
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

// View builds the indexed view of the documents of the set. The digests are
// stored in it unchanged.
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

// NewView builds a view from documents. The findings are those of CheckReferences.
// The error is that of the first invalid document.
func NewView(docs []prim.Document) (*prim.View, Findings, error) {
	var s Set
	digests := make(map[string]prim.Digest, len(docs))
	for _, d := range docs {
		if err := s.Parse(d.Name, d.Body); err != nil {
			return nil, nil, err
		}
		digests[d.Name] = d.Digest
	}
	return s.View(digests), s.CheckReferences(), nil
}
