package olivechute.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import olivechute.http.MessageWriter;
import olivechute.http.ResponseParser;
import olivechute.rig.ProcessSpec;
import olivechute.rig.TestDirectory;
import olivechute.rig.TestNodes;
import olivechute.rig.TestProcess;
import org.junit.jupiter.api.Test;

/** Tests a node whose reads are interrupted by signals (EINTR). */
class InterruptedReadIT {
    private static final int ROUNDS = 30;
    private static final int PER_MILLION = 300_000;
    private static final int TIMEOUT_MILLIS = 8000;

    @Test
    void interruptedReadIsNotTakenForDisconnect() throws Exception {
        try (TestDirectory folder = new TestDirectory("interrupted");
                TestNodes nodes = new TestNodes(1, 1)) {
            FaultShim shim = new FaultShim(folder, "n0", 1);
            ProcessSpec spec = ProcessSpec.jar("n0", ProcessSpec.JAR, "serve")
                    .withEnvironment("LB_CONFIG", nodes.config("n0").toString());
            try (TestProcess node = TestProcess.start(shim.preloadedInto(spec))) {
                node.awaitLine("n0 listens on ", Duration.ofSeconds(20));
                shim.rate(FaultShim.Fault.READ_INTERRUPTED, PER_MILLION);
                List<Integer> statuses = new ArrayList<>();
                for (int round = 0; round < ROUNDS; round++) {
                    try (Socket client = new Socket()) {
                        client.connect(nodes.address("n0"), TIMEOUT_MILLIS);
                        client.setSoTimeout(TIMEOUT_MILLIS);
                        client.getOutputStream().write(twoRequests(round));
                        ResponseParser parser = new ResponseParser();
                        statuses.add(status(client, parser));
                        statuses.add(status(client, parser));
                    }
                }
                assertEquals(Collections.nCopies(2 * ROUNDS, 200), statuses);
            }
        }
    }

    private static byte[] twoRequests(int round) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < 2; i++) {
            all.writeBytes(MessageWriter.request(
                    "POST",
                    "/verify",
                    "b",
                    "document".getBytes(StandardCharsets.US_ASCII),
                    "X-Txn",
                    "r" + round + "-" + i,
                    "X-Org",
                    "acme",
                    "X-Remaining",
                    "5000m"));
        }
        return all.toByteArray();
    }

    /** Returns the status of the next response, or 0 if the connection ends first. */
    private static int status(Socket client, ResponseParser parser) throws Exception {
        byte[] one = new byte[1];
        while (!parser.isComplete()) {
            if (client.getInputStream().read(one) < 0) {
                return 0;
            }
            parser.feed(one, 0, 1);
        }
        return parser.take().status();
    }
}
