package olivechute.proxy;

/**
 * The parts of a client's request that are forwarded to the endpoint unchanged.
 *
 * @param requestTarget the target of the request line
 * @param idempotencyKey the idempotency key, {@code null} without one
 * @param bytes array that holds the body; it must not be modified until the request has ended
 * @param offset index of the first byte of the body
 * @param length length of the body in bytes
 */
public record Payload(String requestTarget, String idempotencyKey, byte[] bytes, int offset, int length) {}
