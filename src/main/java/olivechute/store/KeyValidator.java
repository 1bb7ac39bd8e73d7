package olivechute.store;

import olivechute.error.ErrorCode;

/** Validates keys, lease names, owners and replica names: not empty and within the limit on their length in UTF-8. */
final class KeyValidator {
    private KeyValidator() {}

    static void validate(String label, String value, StoreLimits limits) throws CommandRejectedException {
        if (value.isEmpty()) {
            throw new CommandRejectedException(ErrorCode.MALFORMED, "empty " + label);
        }
        int bytes = EntrySizes.sizeInBytes(value);
        if (bytes > limits.maxKeyBytes()) {
            throw new CommandRejectedException(
                    ErrorCode.TOO_LARGE,
                    "the " + label + " has " + bytes + " bytes, the limit is " + limits.maxKeyBytes());
        }
    }
}
