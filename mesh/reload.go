package mesh

import (
	"context"
	"os"
	"reflect"
	"time"

	prim "github.com/primrosethread/primrosethread"
	"github.com/primrosethread/primrosethread/platform"
)

// The settings file may change while the node runs, with or without a signal. Limits
// take effect immediately. Settings that identify the host or name listen addresses
// can't change in a running process; a file that changes them is reported and not
// used.

// reloadInterval is the time between two checks of the settings file for changes.
const reloadInterval = time.Second

// settings returns the current settings.
func (n *Node) settings() *platform.Settings { return n.currentSettings.Load() }

// Reload replaces the settings. It returns an error that names the settings that can't
// change.
func (n *Node) Reload(s *platform.Settings) error {
	if err := s.CheckReload(n.settings()); err != nil {
		return err
	}
	changed := !reflect.DeepEqual(s, n.settings())
	if changed {
		n.log.Info("settings changed")
	}
	n.currentSettings.Store(s)
	if changed {
		n.applyRegions(s)
	}
	return nil
}

// applyRegions makes the regions in the settings take effect.
func (n *Node) applyRegions(s *platform.Settings) {
	if own := s.RegionOf(s.DataCentre); s.Region != "" && own != s.Region {
		n.log.Warn("settings name two regions for this host's data centre; the one in zones counts", "DataCentre", s.DataCentre, "Region", s.Region, "Zones", own,
			"Remedy", "correct region or zones in the settings file")
	}
	n.relay.SetRegions()
	if routing := n.registry.SetRegions(s.KnownRegions()); routing != nil {
		n.roster.SetRouting(*routing, "settings")
	}
}

// region returns the region of a data centre.
func (n *Node) region(d prim.DataCentre) prim.Region { return n.settings().RegionOf(d) }

// followSettings reloads the settings file when it has changed or a signal requests
// it. An invalid file never replaces the current settings.
func (n *Node) followSettings(ctx context.Context) <-chan error {
	var last time.Time
	if info, err := os.Stat(n.config.Path); err == nil {
		last = info.ModTime()
	}
	return n.loop(ctx, func(ctx context.Context) {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-n.config.Reload:
			signalled = true
		case <-time.After(reloadInterval):
		}
		if n.config.Path == "" {
			return
		}
		info, err := os.Stat(n.config.Path)
		if err == nil && !signalled && info.ModTime().Equal(last) {
			return
		}
		if err == nil {
			last = info.ModTime()
		}
		s, err := platform.ReadSettings(n.config.Path)
		if err == nil {
			err = n.Reload(s)
		}
		if err != nil {
			n.recorder.Count("SettingsRefused", 1)
			n.log.Error("settings refused; the current settings stay in force", "Asked", signalled, "Error", err)
			return
		}
		n.log.Info("settings reloaded", "Asked", signalled)
	})
}
