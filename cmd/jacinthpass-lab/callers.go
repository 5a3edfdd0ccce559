package main

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"jacinthpass/lab/jpcaller"
)

// callersOptions holds the flags that are not stored in jpcaller.Config directly.
type callersOptions struct {
	listen, fabric, service, firstAddress, out string
	addressCount                               int
	duration                                   time.Duration
}

func callersCommand() *cobra.Command {
	var conf jpcaller.Config
	var opt callersOptions
	cmd := &cobra.Command{
		Use:   "callers",
		Short: "Simulate many callers in one process",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := opt.parse(&conf); err != nil {
				return err
			}
			return runCallers(cmd.Context(), conf, opt)
		},
	}
	fl := cmd.Flags()
	fl.StringVar(&conf.Name, "name", "", "name of this process in the results")
	fl.StringVar(&opt.listen, "listen", "127.3.0.1:0", "UDP address that the tunnel listens on")
	fl.StringVar(&opt.fabric, "fabric", "", "UDP address of the fabric")
	fl.StringVar(&opt.service, "service", "", "service address (address:port)")
	fl.StringVar(&opt.firstAddress, "first-address", "10.90.0.1", "first IP address of the callers")
	fl.IntVar(&opt.addressCount, "addresses", 16, "number of consecutive IP addresses of the callers")
	fl.StringVar(&conf.HTTP, "http", "", "address of the control interface")
	fl.Uint64Var(&conf.Seed, "seed", 1, "seed of arrival times and ports")
	fl.Uint64Var(&conf.FirstID, "first-id", 0, "requests and connections get ids above this one")
	fl.IntVar(&conf.Standing, "standing", 0, "number of standing connections, which stay open and receive alerts")
	fl.Float64Var(&conf.Ramp, "ramp", 100, "new standing connections per second, 0 for all at once")
	fl.DurationVar(&conf.AlertEvery, "alert-every", time.Second, "interval of alerts on a standing connection, 0 for none")
	fl.DurationVar(&conf.AskEvery, "ask-every", 0, "mean time between requests on a standing connection, 0 for none")
	fl.DurationVar(&conf.SilentAfter, "silent-after", 10*time.Second, "time without an alert after which a connection counts as broken")
	fl.BoolVar(&conf.Reopen, "reopen", false, "reopen a standing connection after it ended")
	fl.Float64Var(&conf.Rate, "rate", 0, "request flows per second")
	fl.Float64Var(&conf.UDPRate, "udp-rate", 0, "UDP flows per second")
	fl.IntVar(&conf.MaxOpen, "max-open", 5000, "maximum number of concurrent request flows; further requests are skipped")
	fl.IntVar(&conf.Size, "size", 1000, "bytes of content in each answer")
	fl.DurationVar(&conf.Work, "work", 10*time.Millisecond, "processing time of a request at the server")
	fl.IntVar(&conf.Copies, "copies", 1, "how many times each segment with payload is sent; the fabric forwards the copies to different instances")
	fl.IntVar(&conf.SYNPayload, "syn-payload", 0, "bytes of payload added to each SYN")
	fl.DurationVar(&conf.ConnectTimeout, "connect-timeout", 5*time.Second, "timeout of the handshake")
	fl.DurationVar(&conf.AnswerTimeout, "answer-timeout", 10*time.Second, "timeout from sending a request to its whole answer")
	fl.DurationVar(&opt.duration, "duration", 0, "time to run, 0 for until SIGINT or SIGTERM")
	fl.StringVar(&opt.out, "out", "", "file for the results at the end, empty for standard output")
	cmd.MarkFlagRequired("fabric")
	cmd.MarkFlagRequired("service")
	return cmd
}

func (opt callersOptions) parse(conf *jpcaller.Config) error {
	var err error
	if conf.Listen, err = parseAddress("listen", opt.listen); err != nil {
		return err
	}
	if conf.Fabric, err = parseAddress("fabric", opt.fabric); err != nil {
		return err
	}
	if conf.Service, err = parseAddress("service", opt.service); err != nil {
		return err
	}
	addr, err := netip.ParseAddr(opt.firstAddress)
	if err != nil || opt.addressCount < 1 {
		return oops.Errorf("flags --first-address %q, --addresses %d: want an IP address and a number of at least 1", opt.firstAddress, opt.addressCount)
	}
	for range opt.addressCount {
		conf.Addresses = append(conf.Addresses, addr)
		addr = addr.Next()
	}
	return nil
}

func runCallers(ctx context.Context, conf jpcaller.Config, opt callersOptions) error {
	cl, err := jpcaller.Start(conf)
	if err != nil {
		return err
	}
	defer cl.Close()
	if opt.duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, opt.duration)
		defer cancel()
	}
	<-ctx.Done()
	cl.Stop()
	out := os.Stdout
	if opt.out != "" {
		if out, err = os.Create(opt.out); err != nil {
			return oops.Wrapf(err, "callers: create the results file")
		}
		defer out.Close()
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(cl.Results())
}
