package sidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/pollencart/pollencart/internal/accept"
	"github.com/pollencart/pollencart/internal/contain"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/httpserver"
	"github.com/pollencart/pollencart/internal/ingress"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/platform"
)

// ErrListen is returned if the node can't listen on a configured address.
var ErrListen = errs.New("sidecar.listen", http.StatusServiceUnavailable, "can't listen")

func (n *Sidecar) ready() bool { return n.holder.Number() > 0 && !n.draining.Leaving() }

func (n *Sidecar) listen() error {
	for _, h := range []struct {
		address string
		serve   func(net.Listener) error
	}{
		{n.config.PeerAddress, n.server.Serve},
		{n.config.AnnounceAddress, n.serveHTTP(func(e *echo.Echo) { platform.Register(e, n.host) })},
		{n.config.ReadyAddress, n.serveHTTP(func(e *echo.Echo) { platform.RegisterReady(e, n.ready) })},
		{n.config.MetricsAddress, n.serveHTTP(n.registerMetrics)},
		{n.config.CallerAddress, n.ingress.Serve},
	} {
		buffer := 0
		if h.address == n.config.CallerAddress {
			buffer = ingress.SendBuffer
		}

		l, err := accept.ListenWith(h.address, buffer)
		if err != nil {
			n.close()

			return ErrListen.With("%s", h.address).Wrap(err)
		}

		n.listeners = append(n.listeners, l)

		if h.address == n.config.CallerAddress {
			n.callerListener = l
		}

		go n.serve(h.serve, l)
	}

	return nil
}

// registerMetrics serves the metrics, the use of workspaces over all nodes and, if enabled in the settings, profiles
// of the process.
func (n *Sidecar) registerMetrics(e *echo.Echo) {
	e.GET("/metrics", echo.WrapHandler(n.meter.Handler()))
	e.GET("/workspaces", func(c echo.Context) error {
		return c.JSON(http.StatusOK, n.survey.Report(c.Request().Context()))
	})
	n.registerLimits(e)

	if !n.config.Profiles {
		return
	}

	e.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	e.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
}

func (n *Sidecar) serve(serve func(net.Listener) error, l net.Listener) {
	if err := serve(l); err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		n.recorder.Record(event.NodeFailed, timeline.Entry{Detail: err.Error()})
	}
}

func (n *Sidecar) recordAcceptFailed(err error) {
	n.recorder.Record(event.AcceptFailed, timeline.Entry{Detail: err.Error()})
}

func (n *Sidecar) recordPanic(p contain.Caught) {
	n.recorder.Record(event.PanicContained, timeline.Entry{Detail: p.String()})
}

// readTimeout bounds the time to read a heartbeat or a readiness check.
const readTimeout = 10 * time.Second

func (n *Sidecar) serveHTTP(register func(*echo.Echo)) func(net.Listener) error {
	e := echo.New()
	e.HideBanner = true
	register(e)

	s := httpserver.New(e, n.memory, httpserver.ReadTimeout(readTimeout))
	n.servers = append(n.servers, s)

	return func(l net.Listener) error {
		return s.Serve(s.Listener(accept.New(l, accept.Failed(n.recordAcceptFailed))))
	}
}

// shutdownHTTP stops the HTTP servers for heartbeats, readiness checks and metrics after their
// requests in flight.
func (n *Sidecar) shutdownHTTP(ctx context.Context) {
	var ending sync.WaitGroup

	for _, s := range n.servers {
		ending.Go(func() { _ = s.Shutdown(ctx) }) // requests that exceed ctx end with the process
	}

	ending.Wait()
}

func (n *Sidecar) close() {
	for _, l := range n.listeners {
		_ = l.Close()
	}

	n.ingress.Close()
	n.server.Close()
	n.client.Close()
}
