// Package operator speaks HTTP with operators: it serves the commands of the
// program on any node, and is the client that the commands use.
//
//	api := operator.New(operator.Acceptor(a), operator.Fleet(f))
//	api.Register(echo)
//
//	client := operator.NewClient("127.0.0.1:8001")
//	status, err := client.Status(ctx)
package operator

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/internal/upstream"
	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Errors of the interface.
var (
	ErrRequest = errs.New("operator.request", http.StatusBadRequest, "request not accepted")
	ErrNone    = errs.New("operator.none", http.StatusNotFound, "nothing was accepted yet")
)

// maxTree bounds the text of a tree.
const maxTree = 64 << 20

// maxEntries bounds the events that one node gives.
const maxEntries = 1 << 16

// Paths of the interface.
const (
	pathCheck    = "/v1/check"
	pathAccept   = "/v1/accept"
	pathTree     = "/v1/tree"
	pathHistory  = "/v1/history"
	pathStatus   = "/v1/status"
	pathTimeline = "/v1/timeline"
	pathUpstream = "/v1/upstream"
)

// Checked is the outcome of a check.
type Checked struct {
	Faults []settings.Fault `json:"Faults"`
}

// Planned is what accepting would change.
type Planned struct {
	Changes []settings.Change `json:"Changes"`
}

// TreeText is an accepted tree.
type TreeText struct {
	Version settings.Version `json:"Version"`
	Tree    settings.Tree    `json:"Tree"`
}

// API serves operators and the backend server on this host.
type API struct {
	options Options
}

// New returns an interface.
func New(opts ...Option) *API { return &API{options: newOptions(opts...)} }

// Register adds the routes.
func (a *API) Register(e *echo.Echo) {
	e.HTTPErrorHandler = writeError
	e.POST(pathCheck, a.check)
	e.POST(pathAccept, a.accept)
	e.GET(pathTree, a.tree)
	e.GET(pathHistory, a.history)
	e.GET(pathStatus, a.status)
	e.GET(pathTimeline, a.timeline)
	e.PUT(pathUpstream, a.announce)
	e.DELETE(pathUpstream, a.withdraw)
}

func writeError(err error, c echo.Context) {
	if he, ok := err.(*echo.HTTPError); ok { //nolint:errorlint // echo returns it bare
		err = errs.New("operator.http", he.Code, http.StatusText(he.Code))
	}

	e := errs.From(err)
	_ = c.JSON(e.Code, struct {
		ID     string `json:"ID"`
		Code   int    `json:"Code"`
		Detail string `json:"Detail"`
	}{e.ID, e.Code, strings.TrimPrefix(e.Error(), e.ID+": ")})
}

func readTree(c echo.Context) (settings.Tree, error) {
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, maxTree))
	if err != nil {
		return settings.Tree{}, ErrRequest.Wrap(err)
	}

	return settings.Parse(c.QueryParam("file"), data)
}

func (a *API) check(c echo.Context) error {
	tree, err := readTree(c)
	if err != nil {
		return err
	}

	return c.JSON(http.StatusOK, Checked{Faults: tree.Check()})
}

func (a *API) accept(c echo.Context) error {
	tree, err := readTree(c)
	if err != nil {
		return err
	}

	base, err := number(c, "base")
	if err != nil {
		return err
	}

	r := acceptance.Request{
		ID: c.QueryParam("id"), Again: c.QueryParam("again") != "", Base: base,
		Known: a.options.Snapshots.Known(), Tree: tree,
		Operator: c.QueryParam("operator"), Message: c.QueryParam("message"),
	}

	if c.QueryParam("dry-run") != "" {
		changes, err := a.options.Acceptor.Plan(c.Request().Context(), r)
		if err != nil {
			return err
		}

		return c.JSON(http.StatusOK, Planned{Changes: changes})
	}

	v, err := a.options.Acceptor.Accept(c.Request().Context(), r)
	if err != nil {
		return err
	}

	a.options.Accepted(v)

	return c.JSON(http.StatusOK, v)
}

func number(c echo.Context, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}

	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, ErrRequest.With("%s: %q is not a number", name, text)
	}

	return n, nil
}

// tree returns the tree in force on this node, or with a version the accepted
// one of that number; 0 is the newest.
func (a *API) tree(c echo.Context) error {
	s := a.options.Snapshots.Load()

	if c.QueryParam("version") != "" {
		n, err := number(c, "version")
		if err != nil {
			return err
		}

		if s, err = a.options.Acceptor.Version(c.Request().Context(), n, a.options.Snapshots.Known()); err != nil {
			return err
		}
	}

	if s == nil {
		return ErrNone
	}

	v := s.Version()
	v.Branches = nil

	return c.JSON(http.StatusOK, TreeText{Version: v, Tree: s.Tree()})
}

func (a *API) history(c echo.Context) error {
	history, err := a.options.Acceptor.History(c.Request().Context())
	if err != nil {
		return err
	}

	return c.JSON(http.StatusOK, history)
}

func (a *API) status(c echo.Context) error {
	return c.JSON(http.StatusOK, a.options.Fleet.Status(c.Request().Context()))
}

func (a *API) timeline(c echo.Context) error {
	version, err := number(c, "version")
	if err != nil {
		return err
	}

	since, err := number(c, "since")
	if err != nil {
		return err
	}

	limit, err := number(c, "limit")
	if err != nil {
		return err
	}

	f := timeline.Filter{
		Event: c.QueryParam("event"), Limit: int(min(limit, maxEntries)),
		Call: c.QueryParam("call"), Key: c.QueryParam("key"), Node: c.QueryParam("node"),
		Version: version, SinceMs: int64(since),
	}

	return c.JSON(http.StatusOK, a.options.Fleet.Timeline(c.Request().Context(), f))
}

func (a *API) announce(c echo.Context) error {
	var in upstream.Announcement
	if err := c.Bind(&in); err != nil {
		return upstream.ErrAnnouncement.Wrap(err)
	}

	if err := a.options.Host.Announce(in); err != nil {
		return err
	}

	return c.NoContent(http.StatusNoContent)
}

func (a *API) withdraw(c echo.Context) error {
	a.options.Host.Withdraw()

	return c.NoContent(http.StatusNoContent)
}
