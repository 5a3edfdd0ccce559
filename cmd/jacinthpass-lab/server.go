package main

import (
	"net/netip"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"jacinthpass/lab/jpserver"
)

func serverCommand() *cobra.Command {
	var conf jpserver.Config
	var listen, fabric string
	var services []string
	cmd := &cobra.Command{
		Use:   "server",
		Short: "Run one backend server",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if conf.Listen, err = parseAddress("listen", listen); err != nil {
				return err
			}
			if conf.Fabric, err = parseAddress("fabric", fabric); err != nil {
				return err
			}
			for _, text := range services {
				at, err := parseAddress("service", text)
				if err != nil {
					return err
				}
				conf.Services = append(conf.Services, at)
			}
			sv, err := jpserver.Start(conf)
			if err != nil {
				return err
			}
			defer sv.Close()
			<-cmd.Context().Done()
			return nil
		},
	}
	fl := cmd.Flags()
	fl.StringVar(&conf.Name, "name", "", "name in replies and statistics")
	fl.StringVar(&listen, "listen", "127.2.1.1:5555", "UDP address of the foo-over-UDP endpoint")
	fl.StringVar(&fabric, "fabric", "", "UDP address of the fabric")
	fl.StringSliceVar(&services, "service", nil, "service addresses, TCP and UDP (address:port)")
	fl.StringVar(&conf.HTTP, "http", "127.2.1.1:8080", "address of the load endpoint and the control interface")
	fl.IntVar(&conf.Slots, "slots", 2, "maximum number of concurrent requests")
	fl.IntVar(&conf.Queue, "queue", 8, "maximum number of requests that wait for a slot")
	fl.IntVar(&conf.Connections, "connections", 2000, "maximum number of open connections")
	fl.IntVar(&conf.ColdSlots, "cold-slots", 1, "maximum number of concurrent requests when cold")
	fl.IntVar(&conf.ColdConnections, "cold-connections", 100, "maximum number of open connections when cold")
	fl.DurationVar(&conf.ColdDuration, "cold-duration", 30*time.Second, "time until a cold server is warm")
	fl.BoolVar(&conf.ConstantCold, "constant-cold", false, "keep the cold limits constant instead of doubling them every quarter of cold-duration")
	fl.BoolVar(&conf.StartWarm, "warm", false, "start in the warm state")
	fl.DurationVar(&conf.OverloadOutage, "fall-time", 3*time.Second, "how long a cold server refuses all connections after an overload")
	cmd.MarkFlagRequired("fabric")
	cmd.MarkFlagRequired("service")
	return cmd
}

func parseAddress(flag, text string) (netip.AddrPort, error) {
	at, err := netip.ParseAddrPort(text)
	if err != nil {
		return at, oops.Wrapf(err, "flag --%s", flag)
	}
	return at, nil
}
