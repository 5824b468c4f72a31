package node

// ReloadCertificates checks the certificate files immediately instead of after reloadInterval.
func (n *Node) ReloadCertificates() { n.reloadCertificates() }
