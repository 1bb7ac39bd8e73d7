package olivechute.net;

import java.io.IOException;
import java.io.InputStream;

/**
 * Reads from the stream of a socket that has a timeout. Such a read returns a number below -1 where a signal interrupts
 * it, though the connection has neither ended nor timed out.
 */
public final class TimedReads {
    /** What a stream returns at its end. */
    public static final int END_OF_STREAM = -1;

    private TimedReads() {}

    /** How many bytes were read, at least one; {@link #END} at the end. A read that is interrupted begins anew. */
    public static int read(InputStream in, byte[] buffer, int offset, int length) throws IOException {
        int read;
        do {
            read = in.read(buffer, offset, length);
        } while (read < END_OF_STREAM);
        return read;
    }
}
