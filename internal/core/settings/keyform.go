package settings

// Form of a caller's key: KeyPrefix and then random characters of the URL-safe base64 alphabet. The prefix lets the
// entry find keys in places where they must not be.
const (
	KeyPrefix      = "gvs_"
	KeyRandomBytes = 32
	// KeyLength is the length of a whole key in characters.
	KeyLength = len(KeyPrefix) + (KeyRandomBytes*8+5)/6
)
