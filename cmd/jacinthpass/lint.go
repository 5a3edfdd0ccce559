package main

import (
	"fmt"

	"jacinthpass/core/jplint"
	"jacinthpass/core/jpsettings"
)

// reviewSettings reviews shared settings. See jplintcmd.Reviewer.
func reviewSettings(name string, text, inForce []byte) (jplint.Report, error) {
	tree, err := jpsettings.Parse(name, text)
	if err != nil {
		return jplint.Report{Findings: jplint.TreeErrors(err)}, nil
	}
	if inForce == nil {
		return jplint.ReviewTree(tree, nil), nil
	}
	current, err := jpsettings.Parse("", inForce)
	if err != nil {
		return jplint.ReviewTree(tree, nil), fmt.Errorf("the version in force: %w", err)
	}
	return jplint.ReviewTree(tree, current), nil
}
