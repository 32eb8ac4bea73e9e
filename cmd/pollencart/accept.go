package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"

	"github.com/alecthomas/kingpin/v2"
	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/internal/acceptance"
	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// submission holds what accept and edit have in common.
type submission struct {
	*common

	request operator.AcceptRequest
	dryRun  bool
}

func (s *submission) add(c *kingpin.CmdClause) {
	c.Flag("id", "Acceptance ID; repeat a command with the ID that it printed to settle a lost answer.").StringVar(&s.request.ID)
	c.Flag("message", "What this version is for.").Short('m').StringVar(&s.request.Message)
	c.Flag("dry-run", "Check and print what would change; accept nothing.").BoolVar(&s.dryRun)
	s.common.add(c)
}

// submit accepts the tree of the request, or plans it.
func (s *submission) submit(ctx context.Context) error {
	r := s.request
	if u, err := user.Current(); err == nil {
		r.Operator = u.Username
	}

	if s.dryRun {
		changes, err := s.client().Plan(ctx, r)
		if err != nil {
			return err
		}

		return s.printChanges(changes)
	}

	r.Again = r.ID != ""
	if r.ID == "" {
		r.ID = ulid.Make().String()
	}

	v, err := s.client().Accept(ctx, r)
	if err != nil {
		return withID(r.ID, err)
	}

	return s.print(v, func(w io.Writer) { fmt.Fprintf(w, "accepted version %d, ID %s\n", v.Number, v.AcceptanceID) })
}

// withID names the ID to repeat the command with. A node that was lost in the
// middle may have accepted as much as a platform that was.
func withID(id string, err error) error {
	if errors.Is(err, operator.ErrNoAnswer) {
		err = acceptance.ErrUnknown.With("ID %s", id).Wrap(err)
	}

	return fmt.Errorf("acceptance ID %s: %w", id, err)
}

// exitStatus tells what an operator's script can do next.
func exitStatus(err error) int {
	switch {
	case errors.Is(err, acceptance.ErrUnknown):
		return exitUnknown
	case errors.Is(err, acceptance.ErrConflict), errors.Is(err, acceptance.ErrBase):
		return exitConflict
	default:
		return exitFault
	}
}

func (f *common) printChanges(changes []settings.Change) error {
	return f.print(changes, func(w io.Writer) {
		for _, c := range changes {
			fmt.Fprintln(w, c)
		}
	})
}

func addAccept(app *kingpin.Application, f *common) {
	c := app.Command("accept", "Make a tree the accepted version.")
	s := &submission{common: f}

	c.Arg("file", "Tree, JSON with comments.").Required().StringVar(&s.request.File)
	c.Flag("base", "Version that the tree was edited from; by default the one in force on the node.").Uint64Var(&s.request.Base)
	s.add(c)
	c.Action(action(func() error {
		data, err := os.ReadFile(s.request.File)
		if err != nil {
			return err
		}

		tree, err := settings.Parse(s.request.File, data)
		if err != nil {
			return err
		}

		if err := f.printFaults(tree.Check()); err != nil {
			return err
		}

		s.request.Tree = data
		if s.request.Base == 0 {
			s.request.Base = inForce(f.client())
		}

		return s.submit(context.Background())
	}))
}

// printFaults prints every fault, not only the first, and fails if there is one.
func (f *common) printFaults(faults []settings.Fault) error {
	if len(faults) == 0 {
		return nil
	}

	err := f.print(faults, func(w io.Writer) {
		for _, fault := range faults {
			fmt.Fprintln(w, fault)
		}
	})
	if err != nil {
		return err
	}

	return settings.ErrInvalid.With("%d faults", len(faults))
}

func inForce(c *operator.Client) uint64 {
	now, err := c.Tree(context.Background())
	if err != nil {
		return 0
	}

	return now.Version.Number
}

func addEdit(app *kingpin.Application, f *common) {
	c := app.Command("edit", "Change values of one branch or route of the accepted tree, and accept it.")
	s := &submission{common: f}

	path := c.Arg("path", "Branch or route, such as /midlands/ledger/upload.").Required().String()
	texts := c.Arg("key=value", "Deadline=2s, Service.Slots=12, or Attempts= to inherit it again.").Required().Strings()
	s.add(c)
	c.Action(action(func() error {
		ctx := context.Background()

		now, err := f.client().Version(ctx, 0)
		if err != nil {
			return err
		}

		tree, err := edited(now.Tree, *path, *texts)
		if err != nil {
			return err
		}

		if err := f.printFaults(tree.Check()); err != nil {
			return err
		}

		s.request.File, s.request.Base = "edit", now.Version.Number
		if s.request.Tree, err = tree.Text(); err != nil {
			return err
		}

		return s.submit(ctx)
	}))
}

func edited(tree settings.Tree, path string, texts []string) (settings.Tree, error) {
	edits := make([]settings.Edit, len(texts))

	for i, text := range texts {
		var err error
		if edits[i], err = settings.ParseEdit(text); err != nil {
			return settings.Tree{}, err
		}
	}

	return tree.With(path, edits...)
}

var errDiff = errs.New("diff.what", http.StatusBadRequest, "name a file, or two versions with --from and --to")

func addDiff(app *kingpin.Application, f *common) {
	c := app.Command("diff", "Show what accepting a tree would change, or what changed between two versions.")
	file := c.Arg("file", "Tree, JSON with comments.").String()
	from := c.Flag("from", "Version to start from; by default the one in force on the node.").Uint64()
	to := c.Flag("to", "Version to compare with, in place of a file.").Uint64()

	f.add(c)
	c.Action(action(func() error {
		if (*file == "") == (*to == 0) {
			return errDiff
		}

		ctx := context.Background()

		before, err := f.treeOf(ctx, *from)
		if err != nil {
			return err
		}

		var after settings.Tree

		if *file != "" {
			after, err = loadTree(*file)
		} else {
			after, err = f.treeOf(ctx, *to)
		}

		if err != nil {
			return err
		}

		return f.printChanges(settings.Diff(before, after))
	}))
}

// treeOf returns the tree of a version, or the one in force on the node.
func (f *common) treeOf(ctx context.Context, number uint64) (settings.Tree, error) {
	if number == 0 {
		now, err := f.client().Tree(ctx)

		return now.Tree, err
	}

	v, err := f.client().Version(ctx, number)

	return v.Tree, err
}
