package table

import (
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/cockroachdb/errors"
)

// rejectionCodes are the error codes with which the service states that it did not
// execute a write. After any other code, such as InternalServerError, the write may
// or may not have taken effect.
var rejectionCodes = map[string]bool{
	"AccessDeniedException":                  true,
	"IdempotentParameterMismatchException":   true,
	"IncompleteSignatureException":           true,
	"ItemCollectionSizeLimitExceeded":        true,
	"LimitExceededException":                 true,
	"MissingAuthenticationTokenException":    true,
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"ResourceNotFoundException":              true,
	"SerializationException":                 true,
	"Throttling":                             true,
	"ThrottlingException":                    true,
	"TransactionConflictException":           true,
	"UnrecognizedClientException":            true,
	"ValidationException":                    true,
}

// classify returns the sentinel error for the failure of a write. sent reports
// whether a connection was obtained, so that bytes may have been written to it.
func classify(err error, sent bool) error {
	if !sent {
		return ErrUnavailable
	}
	var x *types.TransactionCanceledException
	if errors.As(err, &x) {
		return classifyCancelled(x.CancellationReasons)
	}
	var y interface{ ErrorCode() string }
	if errors.As(err, &y) && rejectionCodes[y.ErrorCode()] {
		return ErrUnavailable
	}
	return ErrAmbiguous
}

// classifyCancelled returns ErrConflict if the transaction was cancelled because a
// condition does not hold, and ErrUnavailable if the cause is temporary, such as a
// concurrent transaction on the same row.
func classifyCancelled(l []types.CancellationReason) error {
	for _, r := range l {
		if r.Code != nil && *r.Code == "ConditionalCheckFailed" {
			return ErrConflict
		}
	}
	return ErrUnavailable
}
