// Package operator is the control API: the HTTP server that every node runs for operators and for
// the local backend server, and the client that the command-line program uses.
//
//	api := operator.New(operator.Acceptor(a), operator.Fleet(f))
//	api.Register(router)
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

// Errors that the API returns to its clients.
var (
	ErrRequest   = errs.New("operator.request", http.StatusBadRequest, "request not accepted")
	ErrNoVersion = errs.New("operator.none", http.StatusNotFound, "nothing was accepted yet")
)

// maxTreeBytes is the maximum size of the text of a settings tree.
const maxTreeBytes = 64 << 20

// maxEntries is the maximum number of events that one node returns.
const maxEntries = 1 << 16

// Paths of the API.
const (
	pathCheck    = "/v1/check"
	pathAccept   = "/v1/accept"
	pathTree     = "/v1/tree"
	pathHistory  = "/v1/history"
	pathStatus   = "/v1/status"
	pathTimeline = "/v1/timeline"
	pathUpstream = "/v1/upstream"
)

// CheckResult lists the faults that a check found in a tree.
type CheckResult struct {
	Faults []settings.Fault `json:"Faults"`
}

// PlanResult lists the changes that accepting a tree would make.
type PlanResult struct {
	Changes []settings.Change `json:"Changes"`
}

// TreeText is an accepted settings tree with its version.
type TreeText struct {
	Version settings.Version `json:"Version"`
	Tree    settings.Tree    `json:"Tree"`
}

// API serves operators and the local backend server.
type API struct {
	options Options
}

// New returns an API with the given options.
func New(opts ...Option) *API { return &API{options: newOptions(opts...)} }

// Register adds the routes and the error handler of the API.
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
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, maxTreeBytes))
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

	return c.JSON(http.StatusOK, CheckResult{Faults: tree.Check()})
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

		return c.JSON(http.StatusOK, PlanResult{Changes: changes})
	}

	v, err := a.options.Acceptor.Accept(c.Request().Context(), r)
	if err != nil {
		return err
	}

	a.options.OnAccepted(v)

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

// tree returns the active tree of this node or, if the request names a version, the accepted
// tree with that number; 0 is the newest.
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
		return ErrNoVersion
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
