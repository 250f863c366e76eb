//go:build deps

// Package deps pins the libraries of parts under construction, so that branches do not change go.mod. It is
// removed when every library has a user.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/participle/v2"
	_ "github.com/alexflint/go-arg"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/coder/websocket"
	_ "github.com/go-kit/log"
	_ "github.com/go-kit/log/level"
	_ "github.com/google/uuid"
	_ "github.com/uber-go/tally/v4"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "gonum.org/v1/plot/vg/vgsvg"
)
