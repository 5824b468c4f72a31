package credential

import (
	"bytes"
	"crypto"
	"crypto/x509"
	"encoding/pem"
	"strings"
)

const (
	certificateBlock = "CERTIFICATE"
	keyBlockSuffix   = "PRIVATE KEY"
)

var pemBegin = []byte("-----BEGIN")

// decodePEM returns the blocks of a PEM file. Text between the blocks is permitted, since tools write descriptions there. A block
// that cannot be decoded is an error, because the file may have been read while it was being written.
func decodePEM(path string, data []byte) ([]*pem.Block, error) {
	var blocks []*pem.Block
	beginCount := bytes.Count(data, pemBegin)
	for rest := data; ; {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			break
		}
		blocks = append(blocks, block)
	}
	if len(blocks) != beginCount {
		return nil, Malformed.New("%s: %d of %d PEM blocks can be decoded; write the whole file again", path, len(blocks), beginCount)
	}
	return blocks, nil
}

// parseCertificates returns the certificates of a PEM file in file order; a file without a certificate is an error.
func parseCertificates(path string, data []byte) ([]*x509.Certificate, error) {
	blocks, err := decodePEM(path, data)
	if err != nil {
		return nil, err
	}
	var certificates []*x509.Certificate
	for _, block := range blocks {
		if block.Type != certificateBlock {
			continue
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, Malformed.New("%s: certificate %d does not parse: %v; write an X.509 certificate in PEM", path, len(certificates)+1, err)
		}
		certificates = append(certificates, certificate)
	}
	if len(certificates) == 0 {
		return nil, Malformed.New("%s: found no CERTIFICATE block among %d PEM blocks; write an X.509 certificate in PEM", path, len(blocks))
	}
	return certificates, nil
}

// parseKey returns the only private key of a PEM file. Error messages do not contain bytes of the file, to keep the key secret.
func parseKey(path string, data []byte) (crypto.Signer, error) {
	blocks, err := decodePEM(path, data)
	if err != nil {
		return nil, err
	}
	var keys []*pem.Block
	for _, block := range blocks {
		// The file may contain other blocks, such as EC parameters or a certificate chain.
		if strings.HasSuffix(block.Type, keyBlockSuffix) {
			keys = append(keys, block)
		}
	}
	if len(keys) != 1 {
		return nil, Malformed.New("%s: found %d private keys among %d PEM blocks; write one private key in PEM", path, len(keys), len(blocks))
	}
	if keys[0].Type == "ENCRYPTED "+keyBlockSuffix || keys[0].Headers["DEK-Info"] != "" {
		return nil, Malformed.New("%s: the private key is encrypted; write it without a passphrase, readable by its user only", path)
	}
	return parseKeyBlock(path, keys[0])
}

func parseKeyBlock(path string, block *pem.Block) (crypto.Signer, error) {
	var key any
	var err error
	switch block.Type {
	case "EC " + keyBlockSuffix:
		key, err = x509.ParseECPrivateKey(block.Bytes)
	case "RSA " + keyBlockSuffix:
		key, err = x509.ParsePKCS1PrivateKey(block.Bytes)
	default:
		key, err = x509.ParsePKCS8PrivateKey(block.Bytes)
	}
	if err != nil {
		return nil, Malformed.New("%s: the private key does not parse; write a key in PKCS #8, PKCS #1 or SEC 1", path)
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, Malformed.New("%s: a key of type %T cannot sign; write an ECDSA, Ed25519 or RSA key", path, key)
	}
	return signer, nil
}

// keyMatches reports whether a private key belongs to a certificate.
func keyMatches(key crypto.Signer, certificate *x509.Certificate) bool {
	public, ok := key.Public().(interface{ Equal(crypto.PublicKey) bool })
	return ok && public.Equal(certificate.PublicKey)
}
