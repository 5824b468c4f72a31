package node

// ReloadSecurity checks the files of certificates at once, in place of the timer.
func (n *Node) ReloadSecurity() { n.reloadSecurity() }
