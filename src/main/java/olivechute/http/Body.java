package olivechute.http;

import java.util.Arrays;

/** The body of a message: a part of an array that nothing writes to any more once the message is whole. */
public record Body(byte[] bytes, int offset, int length) {
    /** No body. */
    public static final Body NONE = new Body(new byte[0], 0, 0);

    /** All of an array. */
    public static Body of(byte[] bytes) {
        return new Body(bytes, 0, bytes.length);
    }

    /** A copy in an array of its own. */
    public byte[] toArray() {
        return Arrays.copyOfRange(bytes, offset, offset + length);
    }
}
