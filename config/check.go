package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	prim "github.com/primrosethread/primrosethread"
)

// This file validates each document on its own; CheckReferences validates the
// references between them. The limits are far above the design target
// (450 services, 9,100 hosts) and far below what would exhaust a node's memory.
const (
	maxNameBytes   = 63 // names are also used as metric labels and path segments
	maxCustomers   = 20_000
	maxCredentials = 16
	maxPlans       = 10_000
	maxServices    = 1_000
	maxRoutes      = 10_000
	maxPathBytes   = 256
	maxDataCentres = 200
	maxHosts       = 50_000
	maxSlots       = 10_000  // per server
	maxConnections = 100_000 // per server
	maxRate        = 1e9     // requests per second; also the largest burst, in requests
)

// reservedServices lists names that no service may have. The node serves its
// peers at /peer.
var reservedServices = []prim.Service{"peer"}

// forwardedMethods lists the HTTP methods that a route may name. CONNECT and
// TRACE are not forwarded.
var forwardedMethods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

// validName reports whether s consists of 1 to 63 ASCII letters, digits, dots,
// dashes and underscores, and begins with a letter or digit.
func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes || strings.IndexByte("._-", s[0]) >= 0 {
		return false
	}
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '.', c == '_', c == '-':
		default:
			return false
		}
	}
	return true
}

const nameRemedy = "write 1 to 63 letters, digits, dots, dashes and underscores, beginning with a letter or digit"

// checkName adds a finding if s is not a valid name.
func checkName[T ~string](f *Findings, s T, place string, args ...any) {
	if !validName(string(s)) {
		f.add(string(s), "is not a name", nameRemedy, place, args...)
	}
}

// checkUniqueName adds a finding if s is not a valid name or is already in
// seen, and then adds s to seen.
func checkUniqueName[T ~string](f *Findings, seen map[T]bool, s T, place string, args ...any) {
	checkName(f, s, place, args...)
	if seen[s] {
		f.add(string(s), "is given twice", "remove one of the two entries", place, args...)
	}
	seen[s] = true
}

// checkLength adds a finding if a list has more than limit entries.
func checkLength(f *Findings, length, limit int, place string, args ...any) {
	if length > limit {
		f.add(length, "entries are too many", fmt.Sprintf("keep at most %d", limit), place, args...)
	}
}

func checkPlans(d *prim.Plans) Findings {
	var f Findings
	checkLength(&f, len(d.Customers), maxCustomers, "Plans.Customers")
	seen := make(map[prim.Customer]bool)
	customerByHash := make(map[string]prim.Customer)
	for i, c := range d.Customers {
		checkUniqueName(&f, seen, c.Name, "Plans.Customers[%d].Name", i)
		checkName(&f, c.Plan, "Plans.Customers[%d].Plan", i)
		checkLength(&f, len(c.Credentials), maxCredentials, "Plans.Customers[%d].Credentials", i)
		for j, hash := range c.Credentials {
			const place = "Plans.Customers[%d].Credentials[%d]"
			if !isHexSHA256(hash) {
				// The finding omits the value, which may be the token itself,
				// published by mistake.
				f.add(description(fmt.Sprintf("a text of %d bytes", len(hash))), "is not a SHA-256 hash",
					"write the hash of the token as 64 hex digits in lower case; if it was the token, replace the token",
					place, i, j)
			} else if other, ok := customerByHash[hash]; ok {
				f.add(hash, fmt.Sprintf("is also a credential of customer %q", other),
					"give each customer tokens of its own", place, i, j)
			}
			customerByHash[hash] = c.Name
		}
	}
	return f
}

// isHexSHA256 reports whether s is 64 lower-case hex digits, the form in which
// the hash of a token is looked up.
func isHexSHA256(s string) bool {
	return len(s) == 64 && strings.Trim(s, "0123456789abcdef") == ""
}

func checkAllowances(d *prim.Allowances) Findings {
	var f Findings
	checkLength(&f, len(d.Plans), maxPlans, "Allowances.Plans")
	seenPlans := make(map[string]bool)
	for i, p := range d.Plans {
		checkUniqueName(&f, seenPlans, p.Name, "Allowances.Plans[%d].Name", i)
		checkLength(&f, len(p.Allowances), maxServices, "Allowances.Plans[%d].Allowances", i)
		seenServices := make(map[prim.Service]bool)
		for j, a := range p.Allowances {
			const place = "Allowances.Plans[%d].Allowances[%d]."
			checkUniqueName(&f, seenServices, a.Service, place+"Service", i, j)
			// The negated comparison also rejects NaN.
			if !(a.Rate >= 0 && a.Rate <= maxRate) {
				f.add(a.Rate, "is not a rate", "write requests a second from 0 to 1e9", place+"Rate", i, j)
			}
			if !(a.Burst >= 0 && a.Burst <= maxRate) {
				f.add(a.Burst, "is not a burst", "write a number of requests from 0 to 1e9", place+"Burst", i, j)
			} else if a.Rate > 0 && a.Burst < 1 {
				f.add(a.Burst, "lets no request through although the rate is positive",
					"write a burst of at least 1, or a rate of 0", place+"Burst", i, j)
			}
		}
	}
	checkRoutes(&f, d.Routes)
	return f
}

func checkRoutes(f *Findings, routes []prim.Route) {
	checkLength(f, len(routes), maxRoutes, "Allowances.Routes")
	type routeKey struct {
		service      prim.Service
		method, path string
	}
	seen := make(map[routeKey]bool)
	for i, r := range routes {
		const place = "Allowances.Routes[%d]."
		checkName(f, r.Service, place+"Service", i)
		checkName(f, r.Class, place+"Class", i)
		if !slices.Contains(forwardedMethods, r.Method) {
			f.add(r.Method, "is not a method that is forwarded", "write one of "+strings.Join(forwardedMethods, ", "), place+"Method", i)
		}
		if !strings.HasPrefix(r.Path, "/") || len(r.Path) > maxPathBytes || strings.ContainsAny(r.Path, "?# ") {
			f.add(r.Path, "is not a path prefix", fmt.Sprintf("begin with a slash, write no query, and at most %d bytes", maxPathBytes), place+"Path", i)
		}
		k := routeKey{r.Service, r.Method, r.Path}
		if seen[k] {
			f.add(r.Path, "is given twice for this service and method", "remove one of the two routes", place+"Path", i)
		}
		seen[k] = true
	}
}

func checkDataCentres(d *prim.DataCentres) Findings {
	var f Findings
	checkLength(&f, len(d.DataCentres), maxDataCentres, "DataCentres.DataCentres")
	seenDataCentres := make(map[prim.DataCentre]bool)
	for i, c := range d.DataCentres {
		checkUniqueName(&f, seenDataCentres, c.Name, "DataCentres.DataCentres[%d].Name", i)
		checkName(&f, c.Region, "DataCentres.DataCentres[%d].Region", i)
	}
	checkLength(&f, len(d.HostsOut), maxHosts, "DataCentres.HostsOut")
	seenHosts := make(map[prim.HostName]bool)
	for i, h := range d.HostsOut {
		checkUniqueName(&f, seenHosts, h, "DataCentres.HostsOut[%d]", i)
	}
	return f
}

func checkHosts(d *prim.Hosts) Findings {
	var f Findings
	checkLength(&f, len(d.Services), maxServices, "Hosts.Services")
	seen := make(map[prim.Service]bool)
	entries := make(map[prim.Service]prim.ServiceEntry)
	for i, s := range d.Services {
		const place = "Hosts.Services[%d]."
		checkUniqueName(&f, seen, s.Name, place+"Name", i)
		if slices.Contains(reservedServices, s.Name) {
			f.add(string(s.Name), "is reserved for the nodes", "choose another name", place+"Name", i)
		}
		if s.Since.IsZero() {
			f.add(description("nothing"), "is given as the start of the service", "write the time at which it was published", place+"Since", i)
		}
		if s.Slots < 1 || s.Slots > maxSlots {
			f.add(s.Slots, "is not a number of slots", fmt.Sprintf("write 1 to %d", maxSlots), place+"Slots", i)
		}
		if s.Connections < s.Slots || s.Connections > maxConnections {
			f.add(s.Connections, "is not a number of connections",
				fmt.Sprintf("write at least the number of slots and at most %d", maxConnections), place+"Connections", i)
		}
		entries[s.Name] = s
	}
	checkLength(&f, len(d.Hosts), maxHosts, "Hosts.Hosts")
	checker := hostChecker{findings: &f, services: entries,
		seenNames: make(map[prim.HostName]bool), hostByAddress: make(map[netip.AddrPort]prim.HostName)}
	for i := range d.Hosts {
		checker.checkHost(i, &d.Hosts[i])
	}
	return f
}

// hostChecker validates the entries of the host list.
type hostChecker struct {
	findings      *Findings
	services      map[prim.Service]prim.ServiceEntry
	seenNames     map[prim.HostName]bool // excludes lost hosts
	hostByAddress map[netip.AddrPort]prim.HostName
}

func (c *hostChecker) checkHost(i int, h *prim.Host) {
	const place = "Hosts.Hosts[%d]."
	checkName(c.findings, h.Name, place+"Name", i)
	checkName(c.findings, h.DataCentre, place+"DataCentre", i)
	service, ok := c.services[h.Service]
	if !ok {
		c.findings.add(string(h.Service), "is not a known service", "add it to Hosts.Services or correct the name", place+"Service", i)
	}
	if !validAddress(h.Address) {
		c.findings.add(formatAddress(h.Address), "is not an address of a node", addressRemedy, place+"Address", i)
	}
	if h.Since.IsZero() {
		c.findings.add(description("nothing"), "is given as the start of the host", "write the time at which it was published", place+"Since", i)
	} else if ok && h.Since.Before(service.Since) {
		c.findings.add(h.Since, "is before the start of its service", "write a time that is not before the service's Since", place+"Since", i)
	}
	switch h.State {
	case prim.HostLost:
		if h.Until.IsZero() || h.Until.Before(h.Since) {
			c.findings.add(h.Until, "is not the time of a removal", "write when the host was removed, not before Since", place+"Until", i)
		}
		// A name or address may have been used by several lost hosts, so the
		// checks for duplicates below do not apply.
		return
	case prim.HostLive, prim.HostLeaving:
		if !h.Until.IsZero() {
			c.findings.add(h.Until, "is given for a host that is not lost", "remove it or write the state Lost", place+"Until", i)
		}
	default:
		c.findings.add(string(h.State), "is not a state", "write Live, Leaving or Lost", place+"State", i)
	}
	if c.seenNames[h.Name] {
		c.findings.add(string(h.Name), "is given twice", "remove one of the two entries or write the state Lost", place+"Name", i)
	}
	c.seenNames[h.Name] = true
	if other, ok := c.hostByAddress[h.Address]; ok && validAddress(h.Address) {
		c.findings.add(formatAddress(h.Address), fmt.Sprintf("is also the address of host %q", other), "correct one of the two", place+"Address", i)
	}
	c.hostByAddress[h.Address] = h.Name
}

const addressRemedy = "write an IP address and a port from 1 to 65535, such as 10.1.2.3:7070"

// validAddress reports whether a is an address and port to which other hosts
// can connect.
func validAddress(a netip.AddrPort) bool {
	ip := a.Addr()
	return a.IsValid() && a.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && !ip.Is4In6() && ip.Zone() == ""
}

func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}
