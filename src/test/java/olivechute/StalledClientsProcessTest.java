package olivechute;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import olivechute.http.HttpResponse;
import olivechute.net.Threads;
import org.testng.annotations.Test;

/**
 * Hundreds of clients stop in the middle of requests, wait until they are ended and come again. Guards against a heap
 * that their half requests fill: connections of other clients broke under requests, and the node stood still or ended.
 */
public class StalledClientsProcessTest extends NodeProcessTestBase {
    private static final int STALLED_CLIENTS = 400;
    private static final int DOCUMENT_BYTES = 60_000;
    private static final int REQUESTS = 50;
    private static final long REQUEST_INTERVAL_MILLIS = 100;

    private static byte[] request(String id, int contentLength, int fieldBytes) {
        return ("POST /verify?user=u1 HTTP/1.1\r\nHost: node\r\nX-Org: acme\r\nX-Remaining: 5000m\r\nX-Txn: " + id
                        + "\r\nX-Field: " + "a".repeat(fieldBytes) + "\r\nContent-Length: " + contentLength + "\r\n\r\n"
                        + "d".repeat(DOCUMENT_BYTES))
                .getBytes(ISO_8859_1);
    }

    private void stall(AtomicBoolean ended) {
        byte[] half = request("half", DOCUMENT_BYTES + 1, 12 * 1024);
        while (!ended.get()) {
            sendAndAwaitEnd(half);
        }
    }

    private void sendAndAwaitEnd(byte[] half) {
        try (TestClient client = new TestClient(nodeAddress)) {
            client.exchange(half);
            Thread.sleep(20);
        } catch (Exception reset) {
            return;
        }
    }

    @Test
    public void halfRequestsOfOthersCostNoRequestItsAnswer() throws Exception {
        discovery = startServer(r -> endpointListResponse(1, false));
        TestServer host = startServer(r -> acceptAndReportToProcess("s1", "ok").respond(r));
        Path configuration = writeConfig(discovery, 1024, endpointEntry("s1", host, "active", 0));
        startProcess("ulimit -n 2048", configuration, "32m");
        TestClient client = connect();
        assertEquals(client.exchange(request("first", DOCUMENT_BYTES, 1)).status(), 200);
        AtomicBoolean ended = new AtomicBoolean();
        for (int i = 0; i < STALLED_CLIENTS; i++) {
            Threads.start("stalled-client", () -> stall(ended));
        }
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            HttpResponse response = client.exchange(request("r" + i, DOCUMENT_BYTES, 1));
            assertTrue(response != null, "the connection ended under request " + i);
            assertTrue(response.status() == 200 || response.status() == 503, "status " + response.status());
            served += response.status() == 200 ? 1 : 0;
            if (!response.keepAlive()) {
                client = connect();
            }
            Thread.sleep(REQUEST_INTERVAL_MILLIS);
        }
        ended.set(true);
        assertTrue(served > REQUESTS / 2, "served " + served);
        awaitAnswer("200");
        String log = String.join("\n", program.lines());
        assertTrue(!log.contains("OutOfMemoryError"), log);
    }
}
