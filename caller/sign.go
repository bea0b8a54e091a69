package caller

import (
	"crypto/hmac"
	"encoding/hex"
)

// Sign returns an HMAC of the request ID as proof that the sender knows the shared key.
func Sign(key, requestID string) string {
	return hex.EncodeToString(computeMAC(key, []byte(requestID), "request"))
}

// Verify returns whether a signature was made with the shared key.
func Verify(key, requestID, signature string) bool {
	given, err := hex.DecodeString(signature)
	return err == nil && hmac.Equal(given, computeMAC(key, []byte(requestID), "request"))
}
