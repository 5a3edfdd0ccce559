package jpcluster

import (
	"context"

	"jacinthpass/core/jpsettings"
	"jacinthpass/lab/jpnetwork"
	"jacinthpass/lab/jpstorestand"
)

// SettingsText returns the shared settings that the cluster started with.
func (cl *Cluster) SettingsText() []byte { return cl.spec.Settings }

// StartServers starts a process for each backend server in the settings text that
// has none yet. It does not apply the settings to the instances.
func (cl *Cluster) StartServers(ctx context.Context, text []byte) error {
	tree, err := jpsettings.Parse("settings", text)
	if err != nil {
		return err
	}
	have := map[string]bool{}
	for _, sr := range cl.Servers {
		have[sr.Config.Name] = true
	}
	for _, sv := range tree.Services {
		for _, sr := range sv.Servers {
			if have[sr.Name] {
				continue
			}
			if err := cl.addServer(ctx, sv, sr); err != nil {
				return err
			}
		}
	}
	return nil
}

// addServer adds the proxy rules of a new server, starts its process and waits
// until its control interface responds.
func (cl *Cluster) addServer(ctx context.Context, sv jpsettings.Service, sr jpsettings.Server) error {
	for _, rl := range serverRules(sr) {
		if err := PostJSON(ctx, cl.NetworkControl()+"/lab/rules", rl, nil); err != nil {
			return err
		}
	}
	if err := cl.startServer(sv, sr); err != nil {
		return err
	}
	return cl.awaitHTTP(ctx, cl.Servers[len(cl.Servers)-1].Control+"/lab/stats")
}

func serverRules(sr jpsettings.Server) []jpnetwork.Rule {
	return []jpnetwork.Rule{
		proxyRule(sr.Name, "udp", sr.Address, true),
		proxyRule(sr.Name+"-load", "tcp", loadAddress(sr), false),
	}
}

// RestartServer restarts the process of a killed server and waits until its
// control interface responds.
func (cl *Cluster) RestartServer(ctx context.Context, sr *Server) error {
	if err := sr.Process.start(); err != nil {
		return err
	}
	return cl.awaitHTTP(ctx, sr.Control+"/lab/stats")
}

// RegisterInstance registers an instance with the platform. leaving marks it as
// about to stop.
func (cl *Cluster) RegisterInstance(ctx context.Context, in *Instance, leaving bool) error {
	row := in.Listed
	row.Leaving = leaving
	return jpstorestand.Register(ctx, cl.StoreControl(), row)
}

// UnregisterInstance removes an instance from the platform's instance list.
func (cl *Cluster) UnregisterInstance(ctx context.Context, in *Instance) error {
	return jpstorestand.Unregister(ctx, cl.StoreControl(), in.ID)
}
