package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	prim "github.com/primrosethread/primrosethread"
)

// This file checks each document by itself. The bounds are far above the
// target of the design page (450 services, 9,100 hosts) and far below what
// would exhaust a node's memory.
const (
	maxName        = 63 // a name is also a label in metrics and a path element
	maxCustomers   = 20_000
	maxCredentials = 16
	maxPlans       = 10_000
	maxServices    = 1_000
	maxRoutes      = 10_000
	maxPath        = 256
	maxCentres     = 200
	maxHosts       = 50_000
	maxSlots       = 10_000
	maxConnections = 100_000
	maxRate        = 1e9
)

// Reserved names of services: the node serves peers at /peer.
var reservedServices = []prim.Service{"peer"}

// methods are those that a route may name. CONNECT and TRACE are not forwarded.
var methods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

// validName reports whether s is 1 to 63 letters, digits, dots, dashes and
// underscores, and begins with a letter or digit.
func validName(s string) bool {
	if s == "" || len(s) > maxName || strings.IndexByte("._-", s[0]) >= 0 {
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

// name checks the form of a name.
func name[T ~string](f *Findings, s T, place string, args ...any) {
	if !validName(string(s)) {
		f.add(string(s), "is not a name", nameRemedy, place, args...)
	}
}

// unique checks the form of a name and that it is new to seen.
func unique[T ~string](f *Findings, seen map[T]bool, s T, place string, args ...any) {
	name(f, s, place, args...)
	if seen[s] {
		f.add(string(s), "is given twice", "remove one of the two entries", place, args...)
	}
	seen[s] = true
}

// count checks the length of a list.
func count(f *Findings, n, most int, place string, args ...any) {
	if n > most {
		f.add(n, "entries are too many", fmt.Sprintf("keep at most %d", most), place, args...)
	}
}

func checkPlans(d *prim.Plans) Findings {
	var f Findings
	count(&f, len(d.Customers), maxCustomers, "Plans.Customers")
	customers := make(map[prim.Customer]bool)
	credentials := make(map[string]prim.Customer)
	for i, c := range d.Customers {
		unique(&f, customers, c.Name, "Plans.Customers[%d].Name", i)
		name(&f, c.Plan, "Plans.Customers[%d].Plan", i)
		count(&f, len(c.Credentials), maxCredentials, "Plans.Customers[%d].Credentials", i)
		for j, h := range c.Credentials {
			const place = "Plans.Customers[%d].Credentials[%d]"
			if !isHash(h) {
				// The value may be the token itself, written by mistake.
				f.add(unshown(fmt.Sprintf("a text of %d bytes", len(h))), "is not a SHA-256 hash",
					"write the hash of the token as 64 hex digits in lower case; if it was the token, replace the token",
					place, i, j)
			} else if other, ok := credentials[h]; ok {
				f.add(h, fmt.Sprintf("is also a credential of customer %q", other),
					"give each customer tokens of its own", place, i, j)
			}
			credentials[h] = c.Name
		}
	}
	return f
}

// isHash reports whether s is 64 hex digits in lower case, the form that the
// lookup of a token's hash uses.
func isHash(s string) bool {
	return len(s) == 64 && strings.Trim(s, "0123456789abcdef") == ""
}

func checkAllowances(d *prim.Allowances) Findings {
	var f Findings
	count(&f, len(d.Plans), maxPlans, "Allowances.Plans")
	plans := make(map[string]bool)
	for i, p := range d.Plans {
		unique(&f, plans, p.Name, "Allowances.Plans[%d].Name", i)
		count(&f, len(p.Allowances), maxServices, "Allowances.Plans[%d].Allowances", i)
		services := make(map[prim.Service]bool)
		for j, a := range p.Allowances {
			const place = "Allowances.Plans[%d].Allowances[%d]."
			unique(&f, services, a.Service, place+"Service", i, j)
			// The negated form also refuses NaN.
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
	count(f, len(routes), maxRoutes, "Allowances.Routes")
	type key struct {
		service      prim.Service
		method, path string
	}
	seen := make(map[key]bool)
	for i, r := range routes {
		const place = "Allowances.Routes[%d]."
		name(f, r.Service, place+"Service", i)
		name(f, r.Class, place+"Class", i)
		if !slices.Contains(methods, r.Method) {
			f.add(r.Method, "is not a method that is forwarded", "write one of "+strings.Join(methods, ", "), place+"Method", i)
		}
		if !strings.HasPrefix(r.Path, "/") || len(r.Path) > maxPath || strings.ContainsAny(r.Path, "?# ") {
			f.add(r.Path, "is not a path prefix", fmt.Sprintf("begin with a slash, write no query, and at most %d bytes", maxPath), place+"Path", i)
		}
		k := key{r.Service, r.Method, r.Path}
		if seen[k] {
			f.add(r.Path, "is given twice for this service and method", "remove one of the two routes", place+"Path", i)
		}
		seen[k] = true
	}
}

func checkDataCentres(d *prim.DataCentres) Findings {
	var f Findings
	count(&f, len(d.DataCentres), maxCentres, "DataCentres.DataCentres")
	centres := make(map[prim.DataCentre]bool)
	for i, c := range d.DataCentres {
		unique(&f, centres, c.Name, "DataCentres.DataCentres[%d].Name", i)
		name(&f, c.Region, "DataCentres.DataCentres[%d].Region", i)
	}
	count(&f, len(d.HostsOut), maxHosts, "DataCentres.HostsOut")
	hosts := make(map[prim.HostName]bool)
	for i, h := range d.HostsOut {
		unique(&f, hosts, h, "DataCentres.HostsOut[%d]", i)
	}
	return f
}

func checkHosts(d *prim.Hosts) Findings {
	var f Findings
	count(&f, len(d.Services), maxServices, "Hosts.Services")
	services := make(map[prim.Service]bool)
	since := make(map[prim.Service]prim.ServiceEntry)
	for i, s := range d.Services {
		const place = "Hosts.Services[%d]."
		unique(&f, services, s.Name, place+"Name", i)
		if slices.Contains(reservedServices, s.Name) {
			f.add(string(s.Name), "is reserved for the nodes", "choose another name", place+"Name", i)
		}
		if s.Since.IsZero() {
			f.add(unshown("nothing"), "is given as the start of the service", "write the time at which it was published", place+"Since", i)
		}
		if s.Slots < 1 || s.Slots > maxSlots {
			f.add(s.Slots, "is not a number of slots", fmt.Sprintf("write 1 to %d", maxSlots), place+"Slots", i)
		}
		if s.Connections < s.Slots || s.Connections > maxConnections {
			f.add(s.Connections, "is not a number of connections",
				fmt.Sprintf("write at least the number of slots and at most %d", maxConnections), place+"Connections", i)
		}
		since[s.Name] = s
	}
	count(&f, len(d.Hosts), maxHosts, "Hosts.Hosts")
	c := hostChecker{f: &f, services: since,
		names: make(map[prim.HostName]bool), addresses: make(map[netip.AddrPort]prim.HostName)}
	for i := range d.Hosts {
		c.check(i, &d.Hosts[i])
	}
	return f
}

// hostChecker checks the entries of the host list.
type hostChecker struct {
	f         *Findings
	services  map[prim.Service]prim.ServiceEntry
	names     map[prim.HostName]bool // of hosts that are not lost
	addresses map[netip.AddrPort]prim.HostName
}

func (c *hostChecker) check(i int, h *prim.Host) {
	const place = "Hosts.Hosts[%d]."
	name(c.f, h.Name, place+"Name", i)
	name(c.f, h.DataCentre, place+"DataCentre", i)
	service, ok := c.services[h.Service]
	if !ok {
		c.f.add(string(h.Service), "is not a known service", "add it to Hosts.Services or correct the name", place+"Service", i)
	}
	if !validAddress(h.Address) {
		c.f.add(addressText(h.Address), "is not an address of a node", addressRemedy, place+"Address", i)
	}
	if h.Since.IsZero() {
		c.f.add(unshown("nothing"), "is given as the start of the host", "write the time at which it was published", place+"Since", i)
	} else if ok && h.Since.Before(service.Since) {
		c.f.add(h.Since, "is before the start of its service", "write a time that is not before the service's Since", place+"Since", i)
	}
	switch h.State {
	case prim.HostLost:
		if h.Until.IsZero() || h.Until.Before(h.Since) {
			c.f.add(h.Until, "is not the time of a removal", "write when the host was removed, not before Since", place+"Until", i)
		}
		// Several lost hosts may have had the same name and address.
		return
	case prim.HostLive, prim.HostLeaving:
		if !h.Until.IsZero() {
			c.f.add(h.Until, "is given for a host that is not lost", "remove it or write the state Lost", place+"Until", i)
		}
	default:
		c.f.add(string(h.State), "is not a state", "write Live, Leaving or Lost", place+"State", i)
	}
	if c.names[h.Name] {
		c.f.add(string(h.Name), "is given twice", "remove one of the two entries or write the state Lost", place+"Name", i)
	}
	c.names[h.Name] = true
	if other, ok := c.addresses[h.Address]; ok && validAddress(h.Address) {
		c.f.add(addressText(h.Address), fmt.Sprintf("is also the address of host %q", other), "correct one of the two", place+"Address", i)
	}
	c.addresses[h.Address] = h.Name
}

const addressRemedy = "write an IP address and a port from 1 to 65535, such as 10.1.2.3:7070"

// validAddress reports whether others can reach a.
func validAddress(a netip.AddrPort) bool {
	ip := a.Addr()
	return a.IsValid() && a.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && !ip.Is4In6() && ip.Zone() == ""
}

func addressText(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}
