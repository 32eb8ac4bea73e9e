// Package settings defines the settings tree that operators edit and the immutable
// snapshot that nodes route calls with.
//
// A tree has a root, branches for regions and services, and leaves for routes.
// Each node of the tree overrides values or inherits them from its parent. A
// branch with a Service block declares the service of its own name; a route
// belongs to the nearest such branch unless it overrides Service.
//
// # Usage
//
//	tree, err := settings.Parse("tree.jsonc", data)
//	faults := tree.Check()
//	snapshot, err := settings.NewSnapshot(settings.Version{Number: 7}, tree)
//	route, ok := snapshot.Match("GET", "/folders/42")
//
// For storage and propagation, a tree is split into records, one for each branch. A
// record is identified by its digest (see Tree.Records).
package settings
