// Package credential loads certificates, keys and certificate authorities from
// PEM files and provides TLS 1.3 configurations that follow changes of the files:
//
//	c, err := credential.New(credential.Files{
//		Certificate: "/etc/sapphiretack/peer.pem",
//		Key:         "/etc/sapphiretack/peer.key",
//		Authorities: "/etc/sapphiretack/authorities.pem",
//	}, credential.Peer, credential.Dependencies{})
//	server := grpc.NewServer(grpc.Creds(credentials.NewTLS(c.ServerConfig("h2"))))
//
// The caller calls Reload periodically. Handshakes after a reload use the new
// files; open connections are not affected:
//
//	changed, err := c.Reload()
//
// New files are used only if all of them are valid: the key matches the
// certificate, the certificate is valid now, and at least one authority is valid
// now. For connections between nodes, the authorities must also accept the
// node's own certificate for both server and client authentication. While the
// files are invalid, the previous certificate stays in use, and Reload returns
// each error once.
package credential
