package olivechute.proxy;

/**
 * The parts of a request that are passed on unchanged.
 *
 * @param target the target of the request line
 * @param idempotencyKey {@code null} without one
 * @param bytes holds the body; nothing writes to it until the request has ended
 * @param from index of the body's first byte
 * @param length bytes of the body
 */
public record Payload(String requestTarget, String idempotencyKey, byte[] bytes, int offset, int length) {}
