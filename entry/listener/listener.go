// Package listener serves clients and operators over HTTP.
//
// # Usage
//
//	l := &listener.Listener{
//		Address: "127.0.0.1:8080", MaxBody: limit, MaxConnections: 1000,
//		Serve: serve, NewRequest: newRequest, Route: route, // and the other handlers
//	}
//	err := l.Run(ctx, func() time.Time { return stopEnd })
//
// All function fields except Listen and OnAcceptError must be set before Run. Paths:
//
//	GET  /v1/route?service=S[&zone=Z]   entry hosts that a client should use
//	ANY  /s/{service}/{path}            request to a service
//	GET  /v1/tickets                    numbers of the applied and of the next ticket
//	GET  /v1/tickets/{number}           one ticket
//	POST /v1/tickets[?check=1]          store a ticket, or only check it
//	GET  /v1/status                     status of this host
//	GET  /v1/explain?service=S          where a request would be sent now
//	GET  /healthz, /readyz, /debug/vars
package listener

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/acceptor"
	"github.com/endiverun/endiverun/entry/detector"
)

// Limits of client connections.
const (
	// readBufferSize is the size in bytes of a connection's read buffer, which also
	// limits the request header.
	readBufferSize = 16 << 10
	readTimeout    = 30 * time.Second
	idleTimeout    = 60 * time.Second
	// writeTimeout is the timeout for writing a response.
	writeTimeout = 60 * time.Second
)

// Listener serves HTTP. The host provides the function fields.
type Listener struct {
	Address string
	// MaxBody is the largest request body in bytes.
	MaxBody core.Bytes
	// MaxConnections is the maximum number of concurrent client connections.
	MaxConnections int
	// OperatorToken is the bearer token that operators must send; empty disables the
	// check.
	OperatorToken string
	// Listen opens the socket; nil means TCP.
	Listen func(address string) (net.Listener, error)
	// OnAcceptError is called when a connection could not be accepted, after which the
	// listener tries again; it may be nil.
	OnAcceptError func(err error)

	// Serve processes a client's request. Its context ends when the client disconnects.
	Serve func(ctx context.Context, request core.Request) core.Outcome
	// NewRequest builds a request and applies the settings of its service.
	NewRequest func(incoming ClientRequest) core.Request
	// Route returns the entry hosts that a client should use.
	Route func(query RouteQuery) (any, *core.Refusal)
	// ApplyTicket and the functions below handle operators' requests. Their results are
	// encoded as JSON.
	ApplyTicket       func(data []byte, checkOnly bool) (any, error)
	ShowTicket        func(number core.TicketNumber) (any, error)
	ShowTicketNumbers func() any
	Status            func() any
	Explain           func(query RouteQuery) (any, *core.Refusal)
	// IsReady reports whether the host accepts requests.
	IsReady func() bool
	// IsDraining reports whether the host is draining.
	IsDraining func() bool
	// Metrics returns the metrics as JSON.
	Metrics func() string

	app      *fiber.App
	inFlight atomic.Int64
}

// InFlight returns the number of client requests in flight.
func (l *Listener) InFlight() int64 {
	return l.inFlight.Load()
}

// Run serves until ctx ends. It then closes the socket and idle connections, and waits for
// requests in flight until the time that stopEnd returns.
func (l *Listener) Run(ctx context.Context, stopEnd func() time.Time) error {
	socket, err := l.listen()
	if err != nil {
		return err
	}
	l.app = l.build()
	accepting := detector.Listener{Listener: acceptor.Listener{Listener: socket, OnRetry: l.OnAcceptError}}
	failed := make(chan error, 1)
	go func() {
		failed <- l.app.Listener(accepting, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stopContext, cancel := context.WithDeadline(context.Background(), stopEnd())
	defer cancel()
	return l.app.ShutdownWithContext(stopContext)
}

func (l *Listener) listen() (net.Listener, error) {
	if l.Listen != nil {
		return l.Listen(l.Address)
	}
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", l.Address)
}

func (l *Listener) build() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit:                    int(l.MaxBody),
		Concurrency:                  l.MaxConnections,
		ReadBufferSize:               readBufferSize,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		CaseSensitive:                true,
		DisableHeadAutoRegister:      true,
		DisableDefaultContentType:    true,
		DisablePreParseMultipartForm: true,
		ErrorHandler:                 l.handleError,
	})
	server := app.Server()
	server.CloseOnShutdown = true
	server.NoDefaultServerHeader = true
	app.Get("/v1/route", l.route)
	app.All("/s/:service", l.serve)
	app.All("/s/:service/*", l.serve)
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", l.readiness)
	operatorRoutes := app.Group("", l.authorize)
	operatorRoutes.Get("/v1/tickets", func(c fiber.Ctx) error { return c.JSON(l.ShowTicketNumbers()) })
	operatorRoutes.Get("/v1/tickets/:number", l.showTicket)
	operatorRoutes.Post("/v1/tickets", l.applyTicket)
	operatorRoutes.Get("/v1/status", func(c fiber.Ctx) error { return c.JSON(l.Status()) })
	operatorRoutes.Get("/v1/explain", l.explain)
	operatorRoutes.Get("/debug/vars", l.metrics)
	return app
}

// handleError responds with a problem to a request that no handler responded to.
func (l *Listener) handleError(c fiber.Ctx, err error) error {
	kind := core.RefusalBadRequest
	status := fiber.StatusBadRequest
	if e, ok := err.(*fiber.Error); ok { //nolint:errorlint // fiber passes its own type unwrapped.
		status = e.Code
	}
	if status == fiber.StatusRequestEntityTooLarge {
		kind = core.RefusalBodyTooLarge
	}
	return writeProblem(c, core.RefusedOutcome(kind, err.Error(), 0), status)
}

func (l *Listener) readiness(c fiber.Ctx) error {
	if !l.IsReady() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

func (l *Listener) metrics(c fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.SendString(l.Metrics())
}

// authorize rejects requests without the operator token.
func (l *Listener) authorize(c fiber.Ctx) error {
	if l.OperatorToken == "" {
		return c.Next()
	}
	token := strings.TrimPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !equalSecrets(token, l.OperatorToken) {
		return fiber.NewError(fiber.StatusUnauthorized, "an operator's call needs the token from the settings")
	}
	return c.Next()
}
