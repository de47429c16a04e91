package node

import (
	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/config"
	"github.com/primrosethread/primrosethread/gossip"
	"github.com/primrosethread/primrosethread/source"
)

// newDocuments builds the component that reads the documents from the platform
// and exchanges them with other nodes.
func (n *Node) newDocuments() (*gossip.Node, error) {
	s := &n.config.Settings
	var clients []prim.Platform
	for _, a := range s.Platform {
		c, err := source.New(source.Config{Base: "http://" + a.String()})
		if err != nil {
			return nil, err
		}
		clients = append(clients, c)
	}
	platform, err := source.NewReplicas(clients)
	if err != nil {
		return nil, err
	}
	var seeds []prim.HostName
	for _, e := range s.Seeds {
		seeds = append(seeds, e.Name)
	}
	return gossip.New(gossip.Config{
		Self:       s.Name,
		DataCentre: s.DataCentre,
		Seeds:      seeds,
		Parse:      n.parseDocument,
		Transport:  n.peers,
		Platform:   platform,
		Log:        n.log,
	})
}

// parseDocument validates a document and returns the current view updated with it. A
// document with dangling references to other documents is accepted, since those
// may be about to change as well. These findings are logged here; primrosethread
// check reports them as errors before the documents are published.
func (n *Node) parseDocument(d prim.Document, current *prim.View) (*prim.View, error) {
	set := config.Set{
		Plans:       &current.Plans,
		Allowances:  &current.Allowances,
		DataCentres: &current.DataCentres,
		Hosts:       &current.Hosts,
	}
	if err := set.Parse(d.Name, d.Body); err != nil {
		return nil, err
	}
	complete := len(current.Digests) == len(prim.DocumentNames)
	if findings := set.CheckReferences(); complete && len(findings) > 0 {
		n.log.Warn("documents have dangling references", "Document", d.Name, "Version", d.Version,
			"Findings", len(findings), "First", findings[0].String())
	}
	return set.View(nil), nil
}
