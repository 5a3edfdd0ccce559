package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"jacinthpass/io/jpoperator"
	"jacinthpass/io/jptls"
)

// targets are the instances that a command may call, in order.
type targets struct {
	addrs    []string
	tlsFiles jptls.Files // of the operator; empty for plain HTTP
}

// addTargetFlags adds the repeatable --operator flag and the TLS flags to cmd.
func addTargetFlags(cmd *cobra.Command) *targets {
	tg := &targets{}
	cmd.Flags().StringVar(&tg.tlsFiles.CA, "ca", "", "PEM file of the authorities that sign the certificates of instances")
	cmd.Flags().StringVar(&tg.tlsFiles.Certificate, "certificate", "", "PEM file of your certificate")
	cmd.Flags().StringVar(&tg.tlsFiles.Key, "key", "", "PEM file of the private key for the certificate")
	cmd.MarkFlagsRequiredTogether("ca", "certificate", "key")
	cmd.Flags().StringArrayVar(&tg.addrs, "operator", nil,
		"operators' address of an instance (HOST:PORT); repeat it for instances to try next")
	mustMarkRequired(cmd, "operator")
	return tg
}

// clients returns a client for each instance, in order.
func (tg *targets) clients() ([]*jpoperator.Client, error) {
	cfg, err := tg.tlsFiles.Load()
	if err != nil {
		return nil, err
	}
	var list []*jpoperator.Client
	for _, addr := range tg.addrs {
		if cfg == nil {
			list = append(list, jpoperator.Dial(addr))
		} else {
			list = append(list, jpoperator.DialTLS(addr, cfg))
		}
	}
	return list, nil
}

// readAny calls the next instance if the previous one returned no valid response.
func readAny[T any](cmd *cobra.Command, tg *targets, call func(context.Context, *jpoperator.Client) (T, error)) (T, error) {
	return callInOrder(cmd, tg, call, func(err error) bool {
		var lost *jpoperator.LostResponseError
		return wasNotSent(err) || errors.As(err, &lost)
	})
}

// changeOnce calls the next instance only if nothing was sent to the previous one: a
// change whose response is lost may have been applied.
func changeOnce[T any](cmd *cobra.Command, tg *targets, call func(context.Context, *jpoperator.Client) (T, error)) (T, error) {
	return callInOrder(cmd, tg, call, wasNotSent)
}

func wasNotSent(err error) bool {
	var ns *jpoperator.NotSentError
	return errors.As(err, &ns)
}

// callInOrder calls the instances in order until one succeeds, or fails with an error for
// which shouldTryNext is false.
func callInOrder[T any](
	cmd *cobra.Command,
	tg *targets,
	call func(context.Context, *jpoperator.Client) (T, error),
	shouldTryNext func(error) bool,
) (T, error) {
	ctx := cmd.Context()
	list, err := tg.clients()
	if err != nil {
		var none T
		return none, err
	}
	last := len(list) - 1
	for _, cl := range list[:last] {
		res, err := call(ctx, cl)
		if err == nil || ctx.Err() != nil || !shouldTryNext(err) {
			return res, err
		}
		fmt.Fprintf(cmd.ErrOrStderr(), "jacinthpass: %v; trying the next instance\n", err)
	}
	return call(ctx, list[last])
}
