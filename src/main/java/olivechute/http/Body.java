package olivechute.http;

import java.util.Arrays;

/** The body of a message: a range of an array that is not written to any more once the message is complete. */
public record Body(byte[] bytes, int offset, int length) {
    /** No body. */
    public static final Body NONE = new Body(new byte[0], 0, 0);

    /** A body that is a whole array. */
    public static Body of(byte[] bytes) {
        return new Body(bytes, 0, bytes.length);
    }

    /** A copy in a new array. */
    public byte[] toArray() {
        return Arrays.copyOfRange(bytes, offset, offset + length);
    }
}
