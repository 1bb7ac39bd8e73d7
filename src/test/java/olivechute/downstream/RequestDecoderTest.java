package olivechute.downstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import olivechute.config.NodeConfig;
import olivechute.http.HttpRequest;
import olivechute.http.MessageWriter;
import olivechute.http.RequestParser;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The expected work of a request, from the headers that its client sends, and its upper limit. */
public class RequestDecoderTest {
    private static final double DEADLINE_US = 5_000_000; // of every class

    private RequestDecoder decoder;

    @BeforeClass
    public void load() throws Exception {
        try (InputStream in = RequestDecoderTest.class.getResourceAsStream("/node.json")) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .replace("DISCOVERY", "127.0.0.1:1")
                    .replace("SOCKETS", "1024")
                    .replace("KNOWN", "");
            Path file = Files.writeString(Files.createTempFile("node", ".json"), text);
            decoder = new RequestDecoder(
                    NodeConfig.load(Map.of("LB_CONFIG", file.toString())).settings());
            Files.delete(file);
        }
    }

    private static HttpRequest request(String estimate, String labels) throws Exception {
        byte[] bytes = MessageWriter.request(
                "POST", "/verify", "b", null, "X-Txn", "t1", "X-Estimate", estimate, "X-Labels", labels);
        RequestParser parser = new RequestParser();
        parser.feed(bytes, 0, bytes.length);
        return parser.take();
    }

    @DataProvider
    public Object[][] works() {
        return new Object[][] {
            // X-Estimate, X-Labels, expected work in microseconds
            {null, null, Double.NaN},
            {"1500", null, 1500.0},
            {"0", null, 0.0},
            {"12.5", null, 12.5},
            {"1500", "slots=2", 1500.0},
            {"1500", "cost=0.25", 250_000.0},
            {"99999999999", null, DEADLINE_US},
            {"9".repeat(400), null, DEADLINE_US},
        };
    }

    /** The cost label takes precedence over the estimate; an estimate is limited to the deadline of its class. */
    @Test(dataProvider = "works")
    public void expectedWorkComesFromTheLabelsOrElseFromTheEstimate(String estimate, String labels, double workUs)
            throws Exception {
        assertEquals(decoder.decode(request(estimate, labels)).expectedWorkUs(), workUs);
    }

    @DataProvider
    public Object[][] malformed() {
        return new Object[][] {
            {"-1"}, {"1e9"}, {"NaN"}, {"Infinity"}, {"1.2.3"}, {"."}, {""}, {"5 000"}, {"5u"}, {"+5"}, {"0x10"}
        };
    }

    @Test(dataProvider = "malformed")
    public void aMalformedEstimateIsRejected(String estimate) {
        assertEquals(expectThrows(LocalReply.class, () -> decoder.decode(request(estimate, "cost=1"))).status, 400);
    }
}
