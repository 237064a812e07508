// Package publisher serves the HTTP endpoints of a host that are not for client
// requests, such as metrics and readiness. Each set of endpoints has a separate
// address.
//
// # Usage
//
//	p := &publisher.Publisher{Log: log}
//	m := meter.New()
//	p.Serve(ctx, "10.0.0.1:9464", publisher.MetricsRoutes(m)) // returns when ctx ends
package publisher

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/endiverun/endiverun/entry/acceptor"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/meter"
)

const (
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 4 << 10
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 30 * time.Second
)

// Publisher serves HTTP endpoints and logs the addresses on which it cannot listen.
type Publisher struct {
	Log *logger.Logger
	// Listen opens the socket; nil means the function Listen.
	Listen func(address string) (net.Listener, error)
}

// Serve serves endpoints on an IP address and port until ctx ends. The function routes
// adds them to the application. Serve returns after logging an error if it cannot listen
// on the address.
func (p *Publisher) Serve(ctx context.Context, address string, routes func(*fiber.App)) {
	listen := p.Listen
	if listen == nil {
		listen = Listen
	}
	listener, err := listen(address)
	if err != nil {
		p.Log.Event(logger.ListenFailed).Str("address", address).Err(err).Send()
		return
	}
	app := fiber.New(fiber.Config{
		ReadBufferSize:          maxHeaderBytes,
		IdleTimeout:             idleTimeout,
		DisableHeadAutoRegister: true,
	})
	routes(app)
	context.AfterFunc(ctx, func() { _ = app.Shutdown() })
	accepting := acceptor.Listener{Listener: listener, OnRetry: func(err error) {
		p.Log.Event(logger.AcceptFailed).Str("address", address).Err(err).Send()
	}}
	err = app.Listener(accepting, fiber.ListenConfig{DisableStartupMessage: true})
	if err != nil && ctx.Err() == nil {
		p.Log.Event(logger.ListenFailed).Str("address", address).Err(err).Send()
	}
}

// Listen opens a listening IPv4 socket on an IP address and port.
func Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp4", address)
}

// MetricsRoutes returns the routes of a meter's metrics: /metrics has the text format for
// collectors, and /debug/vars has JSON, like package expvar.
func MetricsRoutes(m *meter.Meter) func(*fiber.App) {
	return func(app *fiber.App) {
		app.Get("/metrics", func(c fiber.Ctx) error {
			c.Set(fiber.HeaderContentType, fiber.MIMETextPlainCharsetUTF8)
			return m.WriteText(c)
		})
		app.Get("/debug/vars", func(c fiber.Ctx) error {
			c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
			return c.SendString(m.String())
		})
	}
}
