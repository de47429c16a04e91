package mesh

import (
	"context"
	"os"
	"time"

	"github.com/primrosethread/primrosethread/platform"
)

// The settings file may change while the node runs, with or without a signal.
// Bounds take effect at once. What identifies the host or says where to listen
// can't change in a running process; such a file is reported and not used.

// reloadInterval is the time between two looks at the settings file.
const reloadInterval = time.Second

// settings returns the settings in force.
func (n *Node) settings() *platform.Settings { return n.currentSettings.Load() }

// Reload takes new settings. It returns an error that names what can't change.
func (n *Node) Reload(s *platform.Settings) error {
	if err := s.Replaces(n.settings()); err != nil {
		return err
	}
	if *s != *n.settings() {
		n.log.Info("settings changed")
	}
	n.currentSettings.Store(s)
	return nil
}

// followSettings reads the settings file again when it has changed or a signal
// asks for it. A file that can't be used never replaces the settings in force.
func (n *Node) followSettings(ctx context.Context) <-chan error {
	var last time.Time
	if i, err := os.Stat(n.config.Path); err == nil {
		last = i.ModTime()
	}
	return loop(ctx, func(ctx context.Context) {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-n.config.Hangup:
			signalled = true
		case <-time.After(reloadInterval):
		}
		if n.config.Path == "" {
			return
		}
		i, err := os.Stat(n.config.Path)
		if err == nil && !signalled && i.ModTime().Equal(last) {
			return
		}
		if err == nil {
			last = i.ModTime()
		}
		s, err := platform.ReadSettings(n.config.Path)
		if err == nil {
			err = n.Reload(s)
		}
		if err != nil {
			n.recorder.Count("SettingsRefused", 1)
			n.log.Error("settings refused; those in force stay", "Asked", signalled, "Error", err)
			return
		}
		n.log.Info("settings read again", "Asked", signalled)
	})
}
