package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime/pprof"
	"sync"
	"time"
)

// profiledShare is the share of the duration that profiles cover, starting at the middle of the duration.
const profiledShare = 0.4

// profiledAgents is the number of profiled agents. A single agent yields too few samples to show where its time goes.
const profiledAgents = 16

// profileTargets returns the pprof addresses of the gateways and of the first agents by process name.
func (c *Cluster) profileTargets() map[string]string {
	targets := map[string]string{}
	for _, node := range c.Gateways {
		targets[node.Name] = node.pprofAddr
	}
	for _, node := range c.Agents[:min(profiledAgents, len(c.Agents))] {
		targets[node.Name] = node.pprofAddr
	}
	return targets
}

// collectProfiles writes CPU profiles of the bench, the gateways and some agents to files NAME.pprof.
func (c *Cluster) collectProfiles(ctx context.Context, duration time.Duration) error {
	if !sleepUntil(ctx, c.runStart.Add(duration/2)) {
		return ctx.Err()
	}
	window := time.Duration(profiledShare * float64(duration))
	own, err := os.Create(filepath.Join(c.dir, "bench.pprof"))
	if err != nil {
		return err
	}
	defer func() { _ = own.Close() }()
	if err := pprof.StartCPUProfile(own); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	var wait sync.WaitGroup
	for name, address := range c.profileTargets() {
		wait.Go(func() {
			if err := fetchProfile(ctx, address, filepath.Join(c.dir, name+".pprof"), window); err != nil {
				_, _ = fmt.Fprintf(os.Stderr, "profile of %s: %v\n", name, err)
			}
		})
	}
	wait.Wait()
	return nil
}

func fetchProfile(ctx context.Context, address, path string, window time.Duration) error {
	url := fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", address, max(1, int(window.Seconds())))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := io.Copy(file, response.Body); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
