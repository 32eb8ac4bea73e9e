package workspace

// Limited reports whether any workspace has a limit.
func (d *Directory) Limited() bool {
	for _, w := range d.names {
		if w.Limited() {
			return true
		}
	}

	return false
}
