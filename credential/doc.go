// Package credential reads certificates, keys and certificate authorities from
// PEM files, and gives configurations of TLS 1.3 that follow the files:
//
//	c, err := credential.New(credential.Files{
//		Certificate: "/etc/sapphiretack/peer.pem",
//		Key:         "/etc/sapphiretack/peer.key",
//		Authorities: "/etc/sapphiretack/authorities.pem",
//	}, credential.Peer, credential.Dependencies{})
//	server := grpc.NewServer(grpc.Creds(credentials.NewTLS(c.ServerConfig("h2"))))
//
// The caller runs Check on a timer. A handshake after a reload uses the new
// files; open connections go on with what they agreed on:
//
//	changed, err := c.Check()
//
// New files are used only if all of them pass the checks: the key matches the
// certificate, the certificate is valid now, and the authorities file holds an
// authority that is valid now. Between nodes, the own certificate must also be
// one that the authorities accept for a server and for a client. While the
// files are bad, the former certificate stays in use, and Check returns an
// error once for each finding.
package credential
