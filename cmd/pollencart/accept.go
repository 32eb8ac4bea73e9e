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

// submission holds the flags and the request that accept and edit share.
type submission struct {
	*commonFlags

	request operator.AcceptRequest
	dryRun  bool
}

func (s *submission) register(c *kingpin.CmdClause) {
	c.Flag("id", "Acceptance ID. If the outcome of a command is unknown, run it again with the ID that it printed.").StringVar(&s.request.ID)
	c.Flag("message", "Description of the version, kept in the history.").Short('m').StringVar(&s.request.Message)
	c.Flag("dry-run", "Check the tree and print what would change, without accepting it.").BoolVar(&s.dryRun)
	s.commonFlags.register(c)
}

// submit accepts the tree of the request; a dry run only prints the changes.
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
		return withAcceptanceID(r.ID, err)
	}

	return s.print(v, func(w io.Writer) { fmt.Fprintf(w, "accepted version %d, ID %s\n", v.Number, v.AcceptanceID) })
}

// withAcceptanceID adds the ID with which to run the command again. If the
// connection to the node is lost during the request, the version may have been
// accepted, so the outcome is reported as unknown.
func withAcceptanceID(id string, err error) error {
	if errors.Is(err, operator.ErrNoAnswer) {
		err = acceptance.ErrUnknown.With("ID %s", id).Wrap(err)
	}

	return fmt.Errorf("acceptance ID %s: %w", id, err)
}

// exitStatus maps an error to the exit status on which a script decides its next step.
func exitStatus(err error) int {
	switch {
	case errors.Is(err, acceptance.ErrUnknown):
		return exitUnknown
	case errors.Is(err, acceptance.ErrConflict), errors.Is(err, acceptance.ErrBase):
		return exitConflict
	default:
		return exitFailure
	}
}

func (f *commonFlags) printChanges(changes []settings.Change) error {
	return f.print(changes, func(w io.Writer) {
		for _, c := range changes {
			fmt.Fprintln(w, c)
		}
	})
}

func addAccept(app *kingpin.Application, f *commonFlags) {
	c := app.Command("accept", "Accept a tree as the new version.")
	s := &submission{commonFlags: f}

	c.Arg("file", "Tree, JSON with comments.").Required().StringVar(&s.request.File)
	c.Flag("base", "Version on which the tree is based; by default the active version of the node.").Uint64Var(&s.request.Base)
	s.register(c)
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
			s.request.Base = activeVersion(f.client())
		}

		return s.submit(context.Background())
	}))
}

// printFaults prints all faults of a tree and returns an error if there is one.
func (f *commonFlags) printFaults(faults []settings.Fault) error {
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

func activeVersion(c *operator.Client) uint64 {
	current, err := c.Tree(context.Background())
	if err != nil {
		return 0
	}

	return current.Version.Number
}

func addEdit(app *kingpin.Application, f *commonFlags) {
	c := app.Command("edit", "Change values of one branch or route of the accepted tree and accept the result.")
	s := &submission{commonFlags: f}

	path := c.Arg("path", "Branch or route, such as /midlands/ledger/upload.").Required().String()
	texts := c.Arg("key=value", "Deadline=2s or Service.Slots=12 sets a value; Attempts= inherits it.").Required().Strings()
	s.register(c)
	c.Action(action(func() error {
		ctx := context.Background()

		current, err := f.client().Version(ctx, 0)
		if err != nil {
			return err
		}

		tree, err := applyEdits(current.Tree, *path, *texts)
		if err != nil {
			return err
		}

		if err := f.printFaults(tree.Check()); err != nil {
			return err
		}

		s.request.File, s.request.Base = "edit", current.Version.Number
		if s.request.Tree, err = tree.Text(); err != nil {
			return err
		}

		return s.submit(ctx)
	}))
}

func applyEdits(tree settings.Tree, path string, texts []string) (settings.Tree, error) {
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

func addDiff(app *kingpin.Application, f *commonFlags) {
	c := app.Command("diff", "Show what accepting a tree would change, or the changes between two versions.")
	file := c.Arg("file", "Tree, JSON with comments.").String()
	from := c.Flag("from", "Version to compare; by default the active version of the node.").Uint64()
	to := c.Flag("to", "Version to compare with instead of a file.").Uint64()

	f.register(c)
	c.Action(action(func() error {
		if (*file == "") == (*to == 0) {
			return errDiff
		}

		ctx := context.Background()

		before, err := f.fetchTree(ctx, *from)
		if err != nil {
			return err
		}

		var after settings.Tree

		if *file != "" {
			after, err = loadTree(*file)
		} else {
			after, err = f.fetchTree(ctx, *to)
		}

		if err != nil {
			return err
		}

		return f.printChanges(settings.Diff(before, after))
	}))
}

// fetchTree returns the tree of a version; 0 means the active version of the node.
func (f *commonFlags) fetchTree(ctx context.Context, number uint64) (settings.Tree, error) {
	if number == 0 {
		current, err := f.client().Tree(ctx)

		return current.Tree, err
	}

	v, err := f.client().Version(ctx, number)

	return v.Tree, err
}
