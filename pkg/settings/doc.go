// Package settings holds the tree that operators edit and the immutable
// snapshot that nodes answer with.
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
// For storage and for spreading, a tree is cut into records, one for each
// branch; a record is addressed by its digest (see Tree.Records).
package settings
