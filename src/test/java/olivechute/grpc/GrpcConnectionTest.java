package olivechute.grpc;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Connects a client and a server and transfers their bytes in chunks, and feeds frames that a peer must not send. */
class GrpcConnectionTest {
    /** Records the events of one side in order. */
    private static final class RecordingListener implements GrpcConnection.Listener {
        private final List<String> events = new ArrayList<>();
        private final List<byte[]> messages = new ArrayList<>();
        private int stream;

        @Override
        public void onHeaders(int on, Map<String, String> headers) {
            stream = on;
            events.add("headers " + headers.getOrDefault(":path", headers.get(":status")));
        }

        @Override
        public void onMessage(int on, byte[] body) {
            events.add("message " + body.length);
            messages.add(body);
        }

        @Override
        public void onEnd(int on, Map<String, String> trailers) {
            events.add("ended " + trailers);
        }
    }

    private RecordingListener atClient = new RecordingListener();
    private RecordingListener atServer = new RecordingListener();
    private GrpcConnection client = GrpcConnection.client(atClient);
    private GrpcConnection server = GrpcConnection.server(atServer);

    private void exchange(Random random) throws GrpcException {
        for (boolean moved = true; moved; ) {
            byte[] up = client.toSend();
            byte[] down = server.toSend();
            feed(server, up, random);
            feed(client, down, random);
            moved = up.length + down.length > 0;
        }
    }

    private static void feed(GrpcConnection side, byte[] bytes, Random random) throws GrpcException {
        for (int at = 0; at < bytes.length; ) {
            int n = Math.min(bytes.length - at, 1 + random.nextInt(9000));
            side.feed(bytes, at, n);
            at += n;
        }
    }

    @Test
    void callReceivesMessagesAndTrailers() throws GrpcException {
        client.call("localhost", "/S/M", Map.of("key", "value"), new byte[] {1, 2});
        exchange(new Random(1));
        server.sendResponseHeaders(atServer.stream);
        server.sendMessage(atServer.stream, new byte[0]);
        server.sendMessage(atServer.stream, new byte[] {7});
        server.finish(atServer.stream, Map.of("grpc-status", "0"));
        exchange(new Random(1));
        assertEquals(List.of("headers /S/M", "message 2", "ended {}"), atServer.events);
        assertEquals(List.of("headers 200", "message 0", "message 1", "ended {grpc-status=0}"), atClient.events);
    }

    /** Messages larger than the windows, transferred in chunks of random size, arrive complete, once and in order. */
    @Property(tries = 30, seed = "20261201")
    void largeMessagesArriveIntact(@ForAll @LongRange(max = 1L << 30) long seed) throws GrpcException {
        Random random = new Random(seed);
        atClient = new RecordingListener(); // each try uses a new connection
        atServer = new RecordingListener();
        client = GrpcConnection.client(atClient);
        server = GrpcConnection.server(atServer);
        client.call("localhost", "/S/M", Map.of(), new byte[0]);
        exchange(random);
        server.sendResponseHeaders(atServer.stream);
        List<byte[]> sent = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            byte[] body = new byte[random.nextInt(600_000)];
            random.nextBytes(body);
            sent.add(body);
            server.sendMessage(atServer.stream, body);
        }
        server.finish(atServer.stream, Map.of("grpc-status", "0"));
        exchange(random);
        assertEquals(sent.size(), atClient.messages.size());
        for (int i = 0; i < sent.size(); i++) {
            assertArrayEquals(sent.get(i), atClient.messages.get(i));
        }
        assertTrue(atClient.events.get(6).startsWith("ended"));
    }

    /** Frames in hexadecimal, fed to a client with one open call, end the connection with the declared exception. */
    @ParameterizedTest
    @CsvSource({
        "00400100 0000000001, a frame of",
        "000005 00 00 00000001 0100000000, a compressed message",
        "000005 00 00 00000001 0000200001, a message of 2097153 bytes",
        "000005 00 00 00000001 00ffffffff, a message of 4294967295 bytes",
        "000001 01 04 00000003 88, headers on stream 3",
        "000001 01 00 00000001 88 000000 06 00 00000000, interrupted by another frame",
        "000001 09 04 00000001 88, without an open header block",
        "000001 01 04 00000001 ff, headers that cannot be read",
        "000001 01 0c 00000001 05, more padding than payload",
        "000001 01 24 00000001 05, too short",
        "000002 08 00 00000001 0005, a WINDOW_UPDATE frame whose payload is not 4 bytes",
        "000006 04 00 00000000 0004ffffffff, a window over",
        "000004 05 04 00000001 00000002, a push",
        "000008 07 00 00000000 0000000000000000, sent GOAWAY",
    })
    void invalidFramesEndTheConnection(String frames, String expected) throws GrpcException {
        client.call("localhost", "/S/M", Map.of(), new byte[0]);
        client.toSend();
        byte[] bytes = java.util.HexFormat.of().parseHex(frames.replace(" ", ""));
        String text = assertThrows(GrpcException.class, () -> client.feed(bytes, 0, bytes.length))
                .getMessage();
        assertTrue(text.contains(expected), text);
    }

    @Test
    void rejectsPeerWithoutHttp2Preface() {
        byte[] plain = "GET / HTTP/1.1\r\n".getBytes(UTF_8);
        assertThrows(GrpcException.class, () -> server.feed(plain, 0, plain.length));
    }

    /** Random frames with a valid frame header throw only the declared exception and exceed no buffer bound. */
    @Property(tries = 2000, seed = "20261201")
    void randomFramesThrowOnlyGrpcException(@ForAll @LongRange(max = 1L << 40) long seed) {
        Random random = new Random(seed);
        GrpcConnection side = GrpcConnection.client(new RecordingListener());
        try {
            side.call("localhost", "/S/M", Map.of(), new byte[0]);
            for (int i = 0; i < 20; i++) {
                byte[] frame = new byte[9 + random.nextInt(60)];
                random.nextBytes(frame);
                Arrays.fill(frame, 0, 9, (byte) 0);
                frame[2] = (byte) (frame.length - 9);
                frame[3] = (byte) random.nextInt(11);
                frame[4] = (byte) random.nextInt(64);
                frame[8] = (byte) random.nextInt(2);
                side.feed(frame, 0, frame.length);
            }
        } catch (GrpcException declared) {
            assertTrue(declared.getMessage() != null);
        }
    }
}
