package olivechute.downstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;
import olivechute.config.LoadReportFields;
import olivechute.http.HttpException;
import olivechute.http.HttpRequest;
import olivechute.http.MessageWriter;
import olivechute.http.RequestParser;
import olivechute.loadbalancing.LoadBalancerSettings;
import olivechute.proxy.ClientStream;
import olivechute.proxy.ProxyEvent;

/**
 * Passes synthetic requests and job status events through the parsers, decoders and writers that client traffic uses,
 * without a socket, so that these classes are loaded and compiled before the first client connects. A node that starts
 * under full load with only a part of a core has no time for that afterwards. Used by {@code node.Warmup}, on the
 * thread that starts the node.
 */
public final class CodecWarmup {
    private static final byte[] BODY = "rehearsed".getBytes(StandardCharsets.UTF_8);

    private final LoadBalancerSettings settings;
    private final RequestDecoder requestDecoder;
    private final JobStatusDecoder jobStatus;
    private final RequestParser parser = new RequestParser();

    /** Creates a warm-up for a node with these settings. */
    public CodecWarmup(LoadBalancerSettings settings, LoadReportFields loadReportFields) {
        this.settings = settings;
        this.requestDecoder = new RequestDecoder(settings);
        this.jobStatus = new JobStatusDecoder(loadReportFields);
    }

    /**
     * Encodes and decodes one request; {@code index} determines its class and tenant, each in turn, and its id. The
     * event of the request goes to {@code eventSink}, the encoded response to {@code responseSink}; {@code nowUs} is
     * when the request arrived.
     */
    public void request(int index, long nowUs, Consumer<ProxyEvent> eventSink, Consumer<byte[]> responseSink) {
        var requestClass = settings.classes().get(index % settings.classes().size());
        String tenant = settings.tenants().isEmpty()
                ? ""
                : settings.tenants().get(index % settings.tenants().size()).name();
        HttpRequest message = parse(MessageWriter.request(
                "POST",
                "/" + requestClass.name() + "?user=" + index,
                "node",
                BODY,
                "X-Txn",
                requestId(index),
                "X-Org",
                tenant,
                "X-Remaining",
                requestClass.deadlineUs() / 1000 + "m",
                "Idempotency-Key",
                requestId(index)));
        try {
            eventSink.accept(DownstreamServer.requestArrived(
                    message, requestDecoder.decode(message), new ResponseEncoder(responseSink), nowUs));
        } catch (LocalReply e) {
            throw new IllegalStateException(e);
        }
    }

    /** Runs one job status event of the request with this index, as {@code endpoint} would send it. */
    public void jobStatus(int index, String endpoint, String state, Consumer<ProxyEvent> eventSink) {
        String json = String.format(
                Locale.ROOT,
                "{\"id\":\"%s\",\"from\":\"%s\",\"state\":\"%s\",\"result\":\"%s\"}",
                requestId(index),
                endpoint,
                state,
                requestId(index));
        HttpRequest message =
                parse(MessageWriter.request("POST", "/_jobs/news", "node", json.getBytes(StandardCharsets.UTF_8)));
        try {
            eventSink.accept(jobStatus.decode(message.content()));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private HttpRequest parse(byte[] bytes) {
        try {
            for (int offset = 0; offset < bytes.length; ) {
                offset += parser.feed(bytes, offset, bytes.length - offset);
            }
            return parser.take();
        } catch (HttpException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String requestId(int index) {
        return String.format(Locale.ROOT, "%032x", index);
    }

    private record ResponseEncoder(Consumer<byte[]> responseSink) implements ClientStream {
        @Override
        public void sendResult(byte[] result) {
            responseSink.accept(
                    MessageWriter.responseHead(200, result.length, true).array());
        }

        @Override
        public void sendRejection(long retryAfterUs) {
            responseSink.accept(HttpClientStream.rejection(retryAfterUs, true));
        }

        @Override
        public void sendFailure() {
            responseSink.accept(DownstreamServer.textResponse(502, "not served", true));
        }

        @Override
        public void sendDuplicateId() {
            responseSink.accept(DownstreamServer.textResponse(409, "duplicate", false));
        }

        @Override
        public boolean isPresent() {
            return true;
        }
    }
}
