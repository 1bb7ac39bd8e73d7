package olivechute.net;

import java.io.IOException;
import java.io.InputStream;

/**
 * Reads from the stream of a socket that has a timeout. Such a read returns a number below -1 if a signal interrupts
 * it, although the connection has neither ended nor timed out.
 */
public final class TimedReads {
    /** The return value of a stream at its end. */
    public static final int END_OF_STREAM = -1;

    private TimedReads() {}

    /**
     * Returns the number of bytes read, at least one; {@link #END_OF_STREAM} at the end. Retries a read that was
     * interrupted.
     */
    public static int read(InputStream in, byte[] buffer, int offset, int length) throws IOException {
        int read;
        do {
            read = in.read(buffer, offset, length);
        } while (read < END_OF_STREAM);
        return read;
    }
}
