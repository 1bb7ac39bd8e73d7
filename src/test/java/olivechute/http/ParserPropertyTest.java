package olivechute.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/**
 * Sequences of random messages, split at random places: each is parsed as it was sent, and a body in use does not
 * change.
 */
class ParserPropertyTest {
    private static final int MAX_BODY_BYTES = 20_000;

    private record Sent(String target, byte[] body) {}

    /** A sequence of requests, some with a length, some chunked, some with long heads. */
    private static List<Sent> messages(Random random, int count, ByteArrayOutputStream output) {
        List<Sent> sent = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            byte[] body = new byte[random.nextInt(3) == 0 ? random.nextInt(MAX_BODY_BYTES) : random.nextInt(1500)];
            random.nextBytes(body);
            String target = "/t" + i;
            StringBuilder head = new StringBuilder("POST " + target + " HTTP/1.1\r\nHost: x\r\n");
            if (random.nextInt(4) == 0) {
                head.append("X-Long: ").append("y".repeat(random.nextInt(9000))).append("\r\n");
            }
            boolean chunked = random.nextInt(3) == 0;
            head.append(chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + body.length)
                    .append("\r\n\r\n");
            output.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            if (!chunked) {
                output.writeBytes(body);
            } else {
                for (int offset = 0; offset < body.length; ) {
                    int chunkSize = Math.min(body.length - offset, 1 + random.nextInt(4000));
                    output.writeBytes((Integer.toHexString(chunkSize) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                    output.write(body, offset, chunkSize);
                    output.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    offset += chunkSize;
                }
                output.writeBytes("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            }
            sent.add(new Sent(target, body));
        }
        return sent;
    }

    /**
     * Guards against reuse of a buffer that is still in use, the worst effect of which is that one client's data is
     * sent to another. Some messages are released, and their bodies are overwritten at once: no body in use may share
     * their bytes.
     */
    @Property(tries = 300, seed = "20261201")
    void everyMessageIsParsedAndNoBodyInUseIsOverwritten(
            @ForAll @LongRange(max = 1L << 40) long seed,
            @ForAll @IntRange(min = 1, max = 8) int count,
            @ForAll @IntRange(min = 1, max = 5000) int step)
            throws HttpException {
        Random random = new Random(seed);
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        List<Sent> sent = messages(random, count, output);
        byte[] bytes = output.toByteArray();
        RequestParser parser = new RequestParser();
        List<Body> inUse = new ArrayList<>();
        List<byte[]> expected = new ArrayList<>();
        int parsedCount = 0;
        for (int offset = 0; offset < bytes.length; ) {
            ByteBuffer inputBuffer = parser.inputBuffer();
            int read = Math.min(Math.min(bytes.length - offset, inputBuffer.remaining()), 1 + random.nextInt(step));
            inputBuffer.put(bytes, offset, read);
            parser.onBytesRead(read);
            offset += read;
            while (parser.parse()) {
                HttpRequest message = parser.take();
                Sent expectedMessage = sent.get(parsedCount++);
                assertEquals(expectedMessage.target(), message.target());
                assertEquals(ByteBuffer.wrap(expectedMessage.body()), ByteBuffer.wrap(message.body()));
                boolean released = random.nextBoolean();
                if (released) {
                    Body releasedBody = message.content();
                    parser.releaseMessage(true);
                    Arrays.fill(
                            releasedBody.bytes(),
                            releasedBody.offset(),
                            releasedBody.offset() + releasedBody.length(),
                            (byte) 0xDD);
                } else {
                    parser.releaseMessage(false);
                    inUse.add(message.content());
                    expected.add(expectedMessage.body());
                }
                if (!parser.hasUnparsedBytes()) {
                    break;
                }
            }
        }
        assertEquals(sent.size(), parsedCount);
        for (int i = 0; i < inUse.size(); i++) {
            assertEquals(
                    ByteBuffer.wrap(expected.get(i)),
                    ByteBuffer.wrap(inUse.get(i).toArray()),
                    "body " + i + " in use");
        }
    }
}
