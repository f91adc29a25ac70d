//go:build deps

// Package deps keeps the versions of modules whose users are not on main yet.
package deps

import (
	_ "github.com/google/uuid"
	_ "github.com/gorilla/mux"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/juju/errors"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/stretchr/testify/assert"
	_ "github.com/stretchr/testify/require"
	_ "github.com/vmihailenco/msgpack/v5"
	_ "go.uber.org/fx"
	_ "go.uber.org/fx/fxevent"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
