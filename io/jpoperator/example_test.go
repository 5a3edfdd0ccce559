package jpoperator_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"jacinthpass/io/jpoperator"
)

// hobart is a Backend whose settings have one data centre.
type hobart struct{ jpoperator.Backend }

func (hobart) SetDataCentre(_ context.Context, name string, _ bool, _ string) (uint64, error) {
	if name != "hobart" {
		return 0, &jpoperator.UnknownNameError{Kind: jpoperator.KindDataCentre, Name: name}
	}
	return 8, nil
}

func (hobart) Metrics() http.Handler { return http.NotFoundHandler() }

func ExampleDial() {
	srv := httptest.NewServer(jpoperator.NewHandler(hobart{}))
	defer srv.Close()
	cl := jpoperator.Dial(srv.URL)
	fmt.Println(cl.SetDataCentre(context.Background(), "hobart", true, "ann"))
	fmt.Println(cl.SetDataCentre(context.Background(), "hobrat", true, "ann"))
	// Output:
	// 8 <nil>
	// 0 unknown data centre "hobrat"
}
