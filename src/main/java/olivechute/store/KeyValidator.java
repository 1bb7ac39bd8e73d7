package olivechute.store;

import olivechute.error.ErrorCode;

/** What a key, the name of a lease or an owner may be. */
final class KeyValidator {
    private KeyValidator() {}

    static void validate(String label, String value, StoreLimits limits) throws CommandRejectedException {
        if (value.isEmpty()) {
            throw new CommandRejectedException(ErrorCode.MALFORMED, "an empty " + label);
        }
        int bytes = EntrySizes.sizeInBytes(value);
        if (bytes > limits.maxKeyBytes()) {
            throw new CommandRejectedException(
                    ErrorCode.TOO_LARGE, "a " + label + " of " + bytes + " bytes, over " + limits.maxKeyBytes());
        }
    }
}
