//go:build modules

// Package modules lists the modules that the first packages need, so that
// go.mod is complete before they land.
package modules

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/charmbracelet/log"
	_ "github.com/cockroachdb/pebble/v2"
	_ "github.com/cockroachdb/pebble/v2/vfs"
	_ "github.com/hashicorp/yamux"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/panjf2000/gnet/v2"
	_ "github.com/peterbourgon/ff/v3/ffcli"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rotisserie/eris"
	_ "github.com/tidwall/btree"
	_ "github.com/valyala/fasthttp"
	_ "github.com/valyala/fasthttp/fasthttpadaptor"
	_ "go.etcd.io/bbolt"
	_ "go.uber.org/goleak"
	_ "go.yaml.in/yaml/v3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/draw"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
