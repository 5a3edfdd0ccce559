package jpcluster

import (
	"context"
	"fmt"
	"slices"
	"time"

	"jacinthpass/core/jpmember"
)

// RunningInstances returns the instances whose process is running.
func (cl *Cluster) RunningInstances() []*Instance {
	return filterInstances(cl.Instances, func(in *Instance) bool { return in.Process != nil && in.Process.Running() })
}

// InstancesIn returns the instances of a data centre.
func (cl *Cluster) InstancesIn(dataCentre string) []*Instance {
	return filterInstances(cl.Instances, func(in *Instance) bool { return in.DataCentre == dataCentre })
}

func filterInstances(list []*Instance, want func(*Instance) bool) []*Instance {
	return slices.DeleteFunc(slices.Clone(list), func(in *Instance) bool { return !want(in) })
}

// ServersIn returns the backend servers of a data centre.
func (cl *Cluster) ServersIn(dataCentre string) []*Server {
	return slices.DeleteFunc(slices.Clone(cl.Servers), func(sr *Server) bool { return sr.Config.DataCentre != dataCentre })
}

// RunningServers returns the backend servers in list whose process is running.
func RunningServers(list []*Server) []*Server {
	return slices.DeleteFunc(slices.Clone(list), func(sr *Server) bool { return !sr.Running() })
}

// Instance returns the instance with the id, or nil.
func (cl *Cluster) Instance(id string) *Instance {
	for _, in := range cl.Instances {
		if in.ID == id {
			return in
		}
	}
	return nil
}

// Server returns the backend server with the name, or nil.
func (cl *Cluster) Server(name string) *Server {
	for _, sr := range cl.Servers {
		if sr.Config.Name == name {
			return sr
		}
	}
	return nil
}

// AwaitMembers waits until each running instance has settings and considers as many
// instances alive as are running.
func (cl *Cluster) AwaitMembers(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	running := cl.RunningInstances()
	for _, in := range running {
		err := retry(ctx, limit, func() error {
			status, err := cl.Operator(in).Status(ctx)
			if err != nil {
				return err
			}
			alive := 0
			for _, mb := range status.Members {
				if mb.State == jpmember.Alive {
					alive++
				}
			}
			if status.SettingsVersion == 0 || alive != len(running) {
				return fmt.Errorf("%s has settings version %d and considers %d instances alive, want %d", in.ID, status.SettingsVersion, alive, len(running))
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
