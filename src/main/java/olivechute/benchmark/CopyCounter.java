package olivechute.benchmark;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.Charset;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Replaces the calls that copy bytes, where {@link CopyAgent} has rewritten them, and counts the copied bytes. Its
 * public methods are called by rewritten code on any thread, under the names of the original calls. All bytes of the
 * simulated bodies have the high bit set and those of heads do not, which tells the two apart.
 */
public final class CopyCounter {
    private static final AtomicLong COPIES = new AtomicLong();
    private static final AtomicLong BODY_BYTES = new AtomicLong();
    private static final AtomicLong OTHER_BYTES = new AtomicLong();

    private CopyCounter() {}

    /** Returns the copies, and the body bytes and other bytes in them, since the start. */
    static String totals() {
        return COPIES.get() + " " + BODY_BYTES.get() + " " + OTHER_BYTES.get();
    }

    private static void count(byte[] bytes, int from, int length) {
        int body = 0;
        for (int i = from; i < from + length; i++) {
            body += bytes[i] >>> 31; // 1 if the high bit of the byte is set
        }
        if (length > 0) {
            COPIES.incrementAndGet();
            BODY_BYTES.addAndGet(body);
            OTHER_BYTES.addAndGet(length - body);
        }
    }

    private static void count(ByteBuffer bytes, int from, int length) {
        byte[] copy = new byte[length];
        bytes.get(from, copy, 0, length);
        count(copy, 0, length);
    }

    /** For {@link System#arraycopy}. */
    public static void arraycopy(Object from, int at, Object to, int into, int length) {
        if (from instanceof byte[] bytes) {
            count(bytes, at, length);
        }
        System.arraycopy(from, at, to, into, length);
    }

    /** For {@link Arrays#copyOf(byte[], int)}. */
    public static byte[] copyOf(byte[] bytes, int length) {
        count(bytes, 0, Math.min(bytes.length, length));
        return Arrays.copyOf(bytes, length);
    }

    /** For {@link Arrays#copyOfRange(byte[], int, int)}. */
    public static byte[] copyOfRange(byte[] bytes, int from, int to) {
        count(bytes, from, Math.min(bytes.length, to) - from);
        return Arrays.copyOfRange(bytes, from, to);
    }

    /** For {@code byte[].clone()}. */
    public static Object copy(Object bytes) {
        return bytes instanceof byte[] b ? copyOf(b, b.length) : bytes;
    }

    /** For a store into a byte array, or one of booleans, which is the same instruction. */
    public static void store(Object array, int at, int value) {
        if (array instanceof byte[] bytes) {
            bytes[at] = (byte) value;
            count(bytes, at, 1);
        } else {
            ((boolean[]) array)[at] = (value & 1) != 0;
        }
    }

    /** For {@link String#getBytes(Charset)}. */
    public static byte[] getBytes(String text, Charset charset) {
        byte[] bytes = text.getBytes(charset);
        count(bytes, 0, bytes.length);
        return bytes;
    }

    /** For {@link String#getBytes(int, int, byte[], int)}. */
    @SuppressWarnings("deprecation")
    public static void getBytes(String text, int from, int to, byte[] into, int at) {
        text.getBytes(from, to, into, at);
        count(into, at, to - from);
    }

    /** For {@link ByteArrayOutputStream#write(byte[], int, int)}. */
    public static void write(ByteArrayOutputStream out, byte[] bytes, int from, int length) {
        count(bytes, from, length);
        out.write(bytes, from, length);
    }

    /** For {@link ByteArrayOutputStream#write(int)}. */
    public static void write(ByteArrayOutputStream out, int octet) {
        count(new byte[] {(byte) octet}, 0, 1);
        out.write(octet);
    }

    /** For {@link ByteArrayOutputStream#toByteArray()}. */
    public static byte[] toByteArray(ByteArrayOutputStream out) {
        byte[] bytes = out.toByteArray();
        count(bytes, 0, bytes.length);
        return bytes;
    }

    /** For {@link ByteBuffer#put(byte[], int, int)}. */
    public static ByteBuffer put(ByteBuffer into, byte[] bytes, int from, int length) {
        count(bytes, from, length);
        return into.put(bytes, from, length);
    }

    /** For {@link ByteBuffer#put(ByteBuffer)}. */
    public static ByteBuffer put(ByteBuffer into, ByteBuffer from) {
        count(from, from.position(), from.remaining());
        return into.put(from);
    }

    /** For {@link ByteBuffer#get(byte[], int, int)}. */
    public static ByteBuffer get(ByteBuffer from, byte[] into, int at, int length) {
        from.get(into, at, length);
        count(into, at, length);
        return from;
    }

    /** For {@link InputStream#read(byte[])}: the platform copies between its own buffer and the array. */
    public static int read(InputStream in, byte[] into) throws IOException {
        return read(in, into, 0, into.length);
    }

    /** For {@link InputStream#read(byte[], int, int)}. */
    public static int read(InputStream in, byte[] into, int at, int length) throws IOException {
        int n = in.read(into, at, length);
        count(into, at, Math.max(0, n));
        return n;
    }

    /** For {@link OutputStream#write(byte[])}. */
    public static void write(OutputStream out, byte[] bytes) throws IOException {
        write(out, bytes, 0, bytes.length);
    }

    /** For {@link OutputStream#write(byte[], int, int)}. */
    public static void write(OutputStream out, byte[] bytes, int from, int length) throws IOException {
        count(bytes, from, length);
        out.write(bytes, from, length);
    }

    /** For {@link SocketChannel#read(ByteBuffer)}: a direct buffer is filled without a copy. */
    public static int read(SocketChannel in, ByteBuffer into) throws IOException {
        int at = into.position();
        int n = in.read(into);
        if (!into.isDirect() && n > 0) {
            count(into, at, n);
        }
        return n;
    }

    /** For {@link SocketChannel#write(ByteBuffer)}. */
    public static int write(SocketChannel out, ByteBuffer bytes) throws IOException {
        int at = bytes.position();
        int n = out.write(bytes);
        if (!bytes.isDirect() && n > 0) {
            count(bytes, at, n);
        }
        return n;
    }

    /** For {@link SocketChannel#write(ByteBuffer[])}. */
    public static long write(SocketChannel out, ByteBuffer[] bytes) throws IOException {
        int[] at = Arrays.stream(bytes).mapToInt(ByteBuffer::position).toArray();
        long n = out.write(bytes);
        for (int i = 0; i < at.length; i++) {
            if (!bytes[i].isDirect()) {
                count(bytes[i], at[i], bytes[i].position() - at[i]);
            }
        }
        return n;
    }
}
