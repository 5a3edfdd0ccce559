package jpinstance

import (
	"context"
	"crypto/rand"
	"errors"
	"strings"

	"jacinthpass/core/jprollout"
	"jacinthpass/core/jpsettings"
	"jacinthpass/io/jpoperator"
	"jacinthpass/io/jpstore"
)

// Apply replaces the settings in the store and returns the version that contains
// the change. A change without a base version is based on the stored version.
func (in *Instance) Apply(ctx context.Context, chg jpoperator.Change) (uint64, error) {
	base := chg.Base
	if base == 0 {
		rec, _, err := in.store.ReadSettings(ctx)
		if err != nil && !errors.Is(err, jpstore.ErrNoSettings) {
			return 0, &jpoperator.StoreError{Outcome: jpoperator.NotApplied, Cause: err.Error()}
		}
		base = max(rec.Version, in.recordInForce().Version)
	}
	return in.submit(ctx, jprollout.Change{Author: chg.Author, Name: chg.File, Base: base, Text: chg.Text})
}

// submit writes a change to the store and puts the resulting settings in force on
// this instance.
func (in *Instance) submit(ctx context.Context, ch jprollout.Change) (uint64, error) {
	ch.ID, ch.InForce = rand.Text(), in.recordInForce()
	rec, err := jpstore.Submit(ctx, in.store, ch)
	if err != nil {
		return 0, operatorError(err)
	}
	in.recordEvent("rollout", "change_accepted", ch.ID, "by "+ch.Author)
	in.offerSettings(rec, "store")
	version, ok := jprollout.AcceptedVersion(rec, ch.ID)
	if !ok {
		version = rec.Version
	}
	return version, nil
}

// operatorError converts the error of a change to an error type of jpoperator.
func operatorError(err error) error {
	var (
		conflict   *jprollout.ConflictError
		notApplied *jpstore.NotAppliedError
		unknown    *jpstore.UnknownOutcomeError
	)
	switch {
	case errors.As(err, &conflict):
		return &jpoperator.ConflictError{Base: conflict.Base, Current: conflict.Version}
	case errors.As(err, &notApplied):
		return &jpoperator.StoreError{Outcome: jpoperator.NotApplied, Cause: notApplied.Err.Error()}
	case errors.As(err, &unknown):
		return &jpoperator.StoreError{Outcome: jpoperator.OutcomeUnknown, Cause: unknown.Err.Error()}
	}
	problems := jpsettings.Problems(err)
	if len(problems) == 0 {
		return &jpoperator.InvalidError{Problems: []jpoperator.Problem{{File: "change", Message: err.Error()}}}
	}
	var invalid jpoperator.InvalidError
	for _, se := range problems {
		invalid.Problems = append(invalid.Problems, jpoperator.Problem{
			File: se.File, Line: se.Line, Key: qualifiedKey(se.Section, se.Key), Message: se.Problem,
		})
	}
	return &invalid
}

// qualifiedKey returns a section and key as in "[region.tasmania] slots". Both are
// empty for a problem of the whole text.
func qualifiedKey(section, key string) string {
	if section == "" {
		return key
	}
	return strings.TrimSpace("[" + section + "] " + key)
}

// recordInForce returns the record of the settings in force.
func (in *Instance) recordInForce() jprollout.Record {
	in.control.mu.Lock()
	defer in.control.mu.Unlock()
	return in.control.rollout.Record()
}

// Settings returns the settings in force.
func (in *Instance) Settings(context.Context) (jpoperator.Settings, error) {
	rec := in.recordInForce()
	return jpoperator.Settings{Version: rec.Version, Author: rec.Author, Text: rec.Text}, nil
}

// Explain returns the resolved values of the settings in force: those of the servers
// with the given name, or all if server is empty.
func (in *Instance) Explain(ctx context.Context, server string) ([]jpoperator.Value, error) {
	settings, err := in.Settings(ctx)
	if err != nil || settings.Version == 0 {
		return nil, err
	}
	values, err := jpsettings.Explain("settings", settings.Text)
	if err != nil {
		return nil, operatorError(err)
	}
	var list []jpoperator.Value
	for _, vl := range values {
		if server == "" || strings.HasSuffix(vl.Section, "."+server) && strings.Count(vl.Section, ".") == serverSectionDots {
			list = append(list, jpoperator.Value(vl))
		}
	}
	if len(list) == 0 {
		return nil, &jpoperator.UnknownNameError{Kind: jpoperator.KindServer, Name: server}
	}
	return list, nil
}

// serverSectionDots is the number of dots in a server's section name:
// region.REGION.DATA_CENTRE.SERVICE.SERVER.
const serverSectionDots = 4

// SetDataCentre takes a data centre out of service or back in.
func (in *Instance) SetDataCentre(ctx context.Context, name string, out bool, author string) (uint64, error) {
	tree := in.settingsTree()
	if tree != nil {
		for _, dc := range tree.DataCentres {
			if dc.Name == name {
				return in.submitEdit(ctx, author, "region."+dc.Region+"."+name, "state", ifElse(out, "out", "in"))
			}
		}
	}
	return 0, &jpoperator.UnknownNameError{Kind: jpoperator.KindDataCentre, Name: name}
}

// SetServer drains a server or makes it active.
func (in *Instance) SetServer(ctx context.Context, service, server string, draining bool, author string) (uint64, error) {
	tree := in.settingsTree()
	if tree == nil {
		return 0, &jpoperator.UnknownNameError{Kind: jpoperator.KindService, Name: service}
	}
	for _, sv := range tree.Services {
		if sv.Name != service {
			continue
		}
		for _, sr := range sv.Servers {
			if sr.Name == server {
				section := strings.Join([]string{"region", sr.Region, sr.DataCentre, service, server}, ".")
				return in.submitEdit(ctx, author, section, "state", ifElse(draining, "draining", "active"))
			}
		}
		return 0, &jpoperator.UnknownNameError{Kind: jpoperator.KindServer, Name: server}
	}
	return 0, &jpoperator.UnknownNameError{Kind: jpoperator.KindService, Name: service}
}

// submitEdit sets one key in the settings, whatever their version is.
func (in *Instance) submitEdit(ctx context.Context, author, section, key, value string) (uint64, error) {
	return in.submit(ctx, jprollout.Change{
		Author: author, Edits: []jprollout.Edit{{Section: section, Key: key, Value: value}},
	})
}

// settingsTree returns the settings in force, or nil if there are none.
func (in *Instance) settingsTree() *jpsettings.Tree {
	in.control.mu.Lock()
	defer in.control.mu.Unlock()
	return in.control.rollout.Tree()
}

func ifElse(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

// Stop starts a planned stop and returns at once. Further calls have no effect.
func (in *Instance) Stop(context.Context) error {
	in.stopOnce.Do(func() { close(in.stop) })
	return nil
}
