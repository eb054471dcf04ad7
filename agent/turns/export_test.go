package turns

// Accounts returns how many accounts the Book keeps.
func (b *Book) Accounts() int {
	return len(b.flows) + len(b.classes) + len(b.offered) + len(b.served) + len(b.tags) + len(b.returns)
}
