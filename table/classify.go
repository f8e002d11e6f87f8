package table

import (
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/cockroachdb/errors"
)

// refusals are the codes with which the service states that it did not take a
// write. A code that is not listed, such as InternalServerError, says nothing
// about the write.
var refusals = map[string]bool{
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

// classify returns the sentinel error for the failure of a write. sent tells
// whether a connection was at hand, so that bytes may have been written to it.
func classify(err error, sent bool) error {
	if !sent {
		return ErrUnavailable
	}
	var x *types.TransactionCanceledException
	if errors.As(err, &x) {
		return classifyCancelled(x.CancellationReasons)
	}
	var y interface{ ErrorCode() string }
	if errors.As(err, &y) && refusals[y.ErrorCode()] {
		return ErrUnavailable
	}
	return ErrAmbiguous
}

// classifyCancelled tells a condition that does not hold from a cancellation
// for a passing cause, such as another transaction on the same row.
func classifyCancelled(l []types.CancellationReason) error {
	for _, r := range l {
		if r.Code != nil && *r.Code == "ConditionalCheckFailed" {
			return ErrConflict
		}
	}
	return ErrUnavailable
}
