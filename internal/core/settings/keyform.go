package settings

// Format of a caller's key: KeyPrefix followed by random bytes in URL-safe base64. The prefix lets the entry detect keys
// in parts of a request where they must not be.
const (
	KeyPrefix      = "gvs_"
	KeyRandomBytes = 32
	// KeyLength is the length of a key in characters, with its prefix.
	KeyLength = len(KeyPrefix) + (KeyRandomBytes*8+5)/6
)
