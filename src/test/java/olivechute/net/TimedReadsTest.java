package olivechute.net;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import org.testng.annotations.Test;

/** Guards against taking a read that a signal interrupted for data or for the end of the stream. */
public class TimedReadsTest {
    private static InputStream returning(Integer... results) {
        Queue<Integer> remaining = new ArrayDeque<>(List.of(results));
        return new InputStream() {
            @Override
            public int read() {
                throw new UnsupportedOperationException();
            }

            @Override
            public int read(byte[] into, int from, int length) {
                return remaining.remove();
            }
        };
    }

    @Test
    public void anInterruptedReadIsRetried() throws IOException {
        assertEquals(TimedReads.read(returning(-3, -2, 5), new byte[8], 0, 8), 5);
        assertEquals(TimedReads.read(returning(-3, -1), new byte[8], 0, 8), TimedReads.END_OF_STREAM);
    }
}
