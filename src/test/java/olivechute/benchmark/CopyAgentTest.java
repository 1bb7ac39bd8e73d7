package olivechute.benchmark;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the copy agent: each supported way of copying is counted, body bytes apart from others, and the rewritten code
 * behaves as before.
 */
@SuppressWarnings("MutablePublicArray") // the array is written by the test alone
public class CopyAgentTest {
    /** Body and other bytes alternating. Not in the counted class, whose static initializer would be counted. */
    public static final byte[] MIXED = {(byte) 0xb5, 'h', (byte) 0xb5, 'd', (byte) 0xb5};

    /** Copies 3 body bytes and 2 other bytes in the named way. */
    public static final class Copies {
        private Copies() {}

        /** Copies in the named way and returns the copy. */
        public static byte[] copy(String way) {
            switch (way) {
                case "arraycopy" -> {
                    byte[] to = new byte[5];
                    System.arraycopy(MIXED, 0, to, 0, 5);
                    return to;
                }
                case "copyOf" -> {
                    return Arrays.copyOf(MIXED, 5);
                }
                case "copyOfRange" -> {
                    return Arrays.copyOfRange(MIXED, 0, 5);
                }
                case "clone" -> {
                    return MIXED.clone();
                }
                case "loop" -> {
                    byte[] to = new byte[5];
                    for (int i = 0; i < 5; i++) {
                        to[i] = MIXED[i];
                    }
                    return to;
                }
                case "buffer" -> {
                    return ByteBuffer.allocate(5).put(MIXED, 0, 5).array();
                }
                default -> throw new IllegalArgumentException(way);
            }
        }
    }

    @DataProvider
    public Object[][] ways() {
        return new Object[][] {
            {"arraycopy", 1}, {"copyOf", 1}, {"copyOfRange", 1}, {"clone", 1}, {"loop", 5}, {"buffer", 1}
        };
    }

    @Test(dataProvider = "ways")
    public void everyWayToCopyIsCounted(String way, int copies) throws Exception {
        long[] before = totals();
        byte[] copy = (byte[]) rewrittenClass().getMethod("copy", String.class).invoke(null, way);
        long[] after = totals();
        assertEquals(copy, MIXED);
        assertEquals(after[0] - before[0], copies);
        assertEquals(after[1] - before[1], 3);
        assertEquals(after[2] - before[2], 2);
    }

    @Test
    public void classesOutsideTheNodeAreNotRewritten() {
        assertEquals(new CopyAgent().transform(null, "java/util/ArrayList", null, null, new byte[0]), null);
        assertEquals(
                new CopyAgent().transform(null, "olivechute/benchmark/BlockingHttpConnection", null, null, new byte[0]),
                null);
    }

    private static long[] totals() {
        return Arrays.stream(CopyCounter.totals().split(" "))
                .mapToLong(Long::parseLong)
                .toArray();
    }

    /** Returns the class above as the agent rewrites it, under the name of a class that is counted. */
    private static Class<?> rewrittenClass() throws IOException {
        String name = Copies.class.getName();
        byte[] code;
        try (InputStream in = CopyAgentTest.class.getResourceAsStream("CopyAgentTest$Copies.class")) {
            code = new CopyAgent().transform(null, "olivechute/counted/Copies", null, null, in.readAllBytes());
        }
        return new ClassLoader(CopyAgentTest.class.getClassLoader()) {
            Class<?> define() {
                return defineClass(name, code, 0, code.length);
            }
        }.define();
    }
}
