package jpoperator

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"jacinthpass/gen/operator"
)

// service adapts a Backend to the generated service interface.
type service struct {
	backend Backend
}

func (sv *service) Apply(ctx context.Context, pl *operator.ApplyPayload) (*operator.Accepted, error) {
	chg := Change{Text: []byte(pl.Text), File: pl.File, Author: authorOf(ctx, pl.Author)}
	if pl.BaseVersion != nil {
		chg.Base = *pl.BaseVersion
	}
	version, err := sv.backend.Apply(ctx, chg)
	return changeResult("apply", version, err)
}

func (sv *service) SetDataCentre(ctx context.Context, pl *operator.SetDataCentrePayload) (*operator.Accepted, error) {
	version, err := sv.backend.SetDataCentre(ctx, pl.Name, pl.State == stateOut, authorOf(ctx, pl.Author))
	return changeResult("set_data_centre", version, err)
}

func (sv *service) SetServer(ctx context.Context, pl *operator.SetServerPayload) (*operator.Accepted, error) {
	version, err := sv.backend.SetServer(ctx, pl.Service, pl.Server, pl.State == stateDraining, authorOf(ctx, pl.Author))
	return changeResult("set_server", version, err)
}

// changeResult converts the result of a change to the response.
func changeResult(call string, version uint64, err error) (*operator.Accepted, error) {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		err = asStoreError(err)
	}
	if err != nil {
		return nil, toWireError(call, err)
	}
	return &operator.Accepted{Version: version}, nil
}

// asStoreError returns a context error of the backend as a StoreError with
// OutcomeUnknown, unless it wraps a StoreError already: the change may have been
// applied.
func asStoreError(err error) error {
	var se *StoreError
	if errors.As(err, &se) {
		return err
	}
	return &StoreError{Outcome: OutcomeUnknown, Cause: err.Error()}
}

func (sv *service) Show(ctx context.Context) (*operator.Settings, error) {
	set, err := sv.backend.Settings(ctx)
	if err != nil {
		return nil, toWireError("show", err)
	}
	return &operator.Settings{Version: set.Version, Author: set.Author, Text: string(set.Text)}, nil
}

func (sv *service) Explain(ctx context.Context, pl *operator.ExplainPayload) ([]*operator.ResolvedValue, error) {
	name := ""
	if pl.Server != nil {
		name = *pl.Server
	}
	vals, err := sv.backend.Explain(ctx, name)
	if err != nil {
		return nil, toWireError("explain", err)
	}
	return toWireValues(vals), nil
}

func (sv *service) Status(ctx context.Context) (*operator.InstanceStatus, error) {
	st, err := sv.backend.Status(ctx)
	if err != nil {
		return nil, toWireError("status", err)
	}
	return toWireStatus(st), nil
}

func (sv *service) Timeline(ctx context.Context, pl *operator.TimelinePayload) (*operator.EventList, error) {
	var since time.Time
	if pl.Since != nil {
		at, err := time.Parse(time.RFC3339, *pl.Since)
		if err != nil {
			return nil, toWireError("timeline", err)
		}
		since = at
	}
	tl, err := sv.backend.Timeline(ctx, since)
	if err != nil {
		return nil, toWireError("timeline", err)
	}
	return toWireTimeline(tl, pl.Limit), nil
}

func (sv *service) Stop(ctx context.Context) error {
	if err := sv.backend.Stop(ctx); err != nil {
		return toWireError("stop", err)
	}
	return nil
}

// toWireError converts a typed error to its generated type. Other errors are logged, and
// goa reports them as internal errors.
func toWireError(call string, err error) error {
	var (
		ie *InvalidError
		ce *ConflictError
		se *StoreError
		ue *UnknownNameError
	)
	switch {
	case errors.As(err, &ie):
		return &operator.InvalidSettings{Name: "invalid_settings", Message: ie.Error(), Problems: toWireProblems(ie.Problems)}
	case errors.As(err, &ce):
		return &operator.Conflict{Name: "conflict", Message: ce.Error(), BaseVersion: ce.Base, CurrentVersion: ce.Current}
	case errors.As(err, &se):
		return &operator.StoreUnavailable{Name: "store_unavailable", Message: se.Error(), Outcome: string(se.outcome()), Cause: se.Cause}
	case errors.As(err, &ue):
		return &operator.NotFound{Name: "not_found", Message: ue.Error(), Kind: ue.Kind, Unknown: ue.Name}
	}
	klog.Errorf("operator: call %s failed: %v", call, err)
	return err
}
