package olivechute.http;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tables of messages, each parsed at once and byte by byte, with the expected message or the status of the error. */
public class ParserTableTest {
    private static final String HEAD_END = "\r\n\r\n";

    @DataProvider
    public Object[][] requests() {
        String post = "POST /a?user=u HTTP/1.1\r\nHost: x\r\n";
        return new Object[][] {
            {"GET / HTTP/1.1" + HEAD_END, "GET / '' keep"},
            {"\r\nGET / HTTP/1.1" + HEAD_END, "GET / '' keep"},
            {"HEAD / HTTP/1.1" + HEAD_END, "HEAD / '' close"},
            {"GET / HTTP/1.0" + HEAD_END, "GET / '' close"},
            {"GET / HTTP/1.0\r\nConnection: Keep-Alive" + HEAD_END, "GET / '' keep"},
            {"GET / HTTP/1.1\r\nConnection: x, Close" + HEAD_END, "GET / '' close"},
            {post + "Content-Length: 3" + HEAD_END + "abc", "POST /a?user=u 'abc' keep"},
            {post + "Content-Length: 3\r\ncontent-length: 3" + HEAD_END + "abc", "POST /a?user=u 'abc' keep"},
            {
                post + "Transfer-Encoding: chunked" + HEAD_END + "2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: v" + HEAD_END,
                "POST /a?user=u 'abc' keep"
            },
            {post + "Content-Length: 3\r\nContent-Length: 4" + HEAD_END, "400"},
            {post + "Content-Length: 3, 3" + HEAD_END, "400"},
            {post + "Content-Length: -3" + HEAD_END, "400"},
            {post + "Content-Length: +3" + HEAD_END, "400"},
            {post + "Content-Length: 3\r\nTransfer-Encoding: chunked" + HEAD_END, "400"},
            {post + "Transfer-Encoding: gzip, chunked" + HEAD_END, "501"},
            {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked" + HEAD_END, "400"},
            {post + "Transfer-Encoding: chunked" + HEAD_END + "x\r\n", "400"},
            {post + "Transfer-Encoding: chunked" + HEAD_END + "-1\r\n", "400"},
            {post + "Transfer-Encoding: chunked" + HEAD_END + "1\r\nab\r\n", "400"},
            {post + "Transfer-Encoding: chunked" + HEAD_END + "10001\r\n", "413"},
            {post + "Transfer-Encoding: chunked" + HEAD_END + "1;" + "x".repeat(300), "400"},
            {post + "Content-Length: 65537" + HEAD_END, "413"},
            {post + "Content-Length: 99999999999999999999" + HEAD_END, "400"},
            {"GET / HTTP/1.1\r\nA: " + "x".repeat(20_000) + HEAD_END, "431"},
            {"GET / HTTP/1.1\r\n" + "A: b\r\n".repeat(101) + "\r\n", "431"},
            {"GET /" + "x".repeat(20_000), "431"},
            {"GET / HTTP/1.1\r\nA : b" + HEAD_END, "400"},
            {"GET / HTTP/1.1\r\n folded: b" + HEAD_END, "400"},
            {"GET / HTTP/1.1\r\nnocolon" + HEAD_END, "400"},
            {"GET / HTTP/1.1\nHost: x\n\n", "400"},
            {"GET / HTTP/1.1\r\nA: b\rc" + HEAD_END, "400"},
            {"GET / HTTP/1.1\r\nA: b\0c" + HEAD_END, "400"},
            {"GET /\r\n\r\n", "400"},
            {"GET  / HTTP/1.1" + HEAD_END, "400"},
            {"GET x HTTP/1.1" + HEAD_END, "400"},
            {"G(T / HTTP/1.1" + HEAD_END, "400"},
            {"GET / HTTP/2.0" + HEAD_END, "505"},
            {"GET / HTTQ/1.1" + HEAD_END, "400"},
        };
    }

    @Test(dataProvider = "requests")
    public void requestsAreParsedOrRejected(String text, String expected) {
        for (int step : new int[] {1 << 20, 1}) {
            RequestParser parser = new RequestParser();
            String actual = parse(parser, text, step);
            if (actual.isEmpty()) {
                HttpRequest request = parser.take();
                actual = request.method() + " " + request.target() + " '" + text(request.body()) + "' "
                        + (request.keepAlive() ? "keep" : "close");
            }
            assertEquals(actual, expected);
        }
    }

    @DataProvider
    public Object[][] responses() {
        return new Object[][] {
            {"HTTP/1.1 202 Accepted\r\nContent-Length: 0" + HEAD_END, "202 '' keep"},
            {"HTTP/1.1 204 No Content" + HEAD_END, "204 '' keep"},
            {"HTTP/1.1 200\r\nContent-Length: 2" + HEAD_END + "ok", "200 'ok' keep"},
            {"HTTP/1.1 100 Continue" + HEAD_END, "100 '' keep"},
            {
                "HTTP/1.1 503 Busy\r\nConnection: close\r\nTransfer-Encoding: chunked" + HEAD_END + "1\r\na\r\n0"
                        + HEAD_END,
                "503 'a' close"
            },
            {"HTTP/1.1 500 Oops" + HEAD_END + "rest", "500 'rest' close"},
            {"HTTP/1.1 20x Hm" + HEAD_END, "400"},
            {"SSH-2.0-x\r\n", "400"},
        };
    }

    @Test(dataProvider = "responses")
    public void responsesAreParsedOrRejected(String text, String expected) {
        for (int step : new int[] {1 << 20, 1}) {
            ResponseParser parser = new ResponseParser();
            String actual = parse(parser, text, step);
            if (actual.equals("midway") && parser.onEndOfInput()) {
                actual = "";
            }
            if (actual.isEmpty()) {
                HttpResponse response = parser.take();
                actual = response.status() + " '" + text(response.body()) + "' "
                        + (response.keepAlive() ? "keep" : "close");
            }
            assertEquals(actual, expected);
        }
    }

    @Test
    public void bytesAfterAMessageAreLeftForTheNext() throws HttpException {
        byte[] two = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
        RequestParser parser = new RequestParser();
        int first = parser.feed(two, 0, two.length);
        assertEquals(first, two.length / 2);
        assertEquals(parser.take().target(), "/1");
        parser.feed(two, first, two.length - first);
        assertEquals(parser.take().target(), "/2");
    }

    /** Empty once a message is complete, "midway" if the text ended before, else the status of the error. */
    private static String parse(MessageParser<?> parser, String text, int step) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        try {
            for (int offset = 0; offset < bytes.length && !parser.isComplete(); ) {
                offset += parser.feed(bytes, offset, Math.min(step, bytes.length - offset));
            }
            return parser.isComplete() ? "" : "midway";
        } catch (HttpException e) {
            return String.valueOf(e.status);
        }
    }

    private static String text(byte[] body) {
        return new String(body, StandardCharsets.ISO_8859_1);
    }
}
