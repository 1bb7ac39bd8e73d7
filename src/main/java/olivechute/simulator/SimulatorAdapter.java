package olivechute.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import olivechute.config.InvalidValueException;
import olivechute.config.JsonFields;
import olivechute.config.LoadBalancerSettingsDecoder;
import olivechute.config.LoadReportFields;
import olivechute.loadbalancing.AttemptOutcome;
import olivechute.loadbalancing.AttemptSignal;
import olivechute.loadbalancing.EndpointInfo;
import olivechute.loadbalancing.ListUpdateKind;
import olivechute.loadbalancing.LoadBalancer;
import olivechute.loadbalancing.LoadBalancerSettings;
import olivechute.loadbalancing.Request;
import olivechute.loadbalancing.ShareLoadBalancer;

/**
 * Connects load balancers to the simulator: decodes its events, encodes the load balancers' actions, and decides
 * nothing itself. Each input line is a JSON object with a batch of events and is answered by one line with the
 * resulting actions. Several load balancer instances may run side by side. Times are seconds on the wire and
 * microseconds in the code. Everything runs on the thread that calls {@link #run}.
 */
public final class SimulatorAdapter {
    private static final JsonFactory JSON = new JsonFactory();
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long TOPIC_STARTED = 1;
    private static final long TOPIC_PROGRESS = 2;

    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private final Map<Long, List<EndpointInfo>> endpointLists = new LinkedHashMap<>();
    private JsonGenerator out;

    private SimulatorAdapter() {}

    /**
     * Processes batches until the input ends. Returns the exit status: 1 if a line could not be processed, which is
     * reported on {@code errors}, else 0.
     */
    public static int run(InputStream input, OutputStream output, PrintStream errors) {
        SimulatorAdapter adapter = new SimulatorAdapter();
        ByteArrayOutputStream line = new ByteArrayOutputStream(1 << 16);
        long lineNumber = 0;
        try {
            byte[] chunk = new byte[1 << 16];
            for (int bytesRead = input.read(chunk); bytesRead >= 0; bytesRead = input.read(chunk)) {
                int lineStart = 0;
                for (int i = 0; i < bytesRead; i++) {
                    if (chunk[i] == '\n') {
                        line.write(chunk, lineStart, i - lineStart);
                        lineStart = i + 1;
                        lineNumber++;
                        adapter.processBatch(line.toByteArray(), output);
                        line.reset();
                    }
                }
                line.write(chunk, lineStart, bytesRead - lineStart);
            }
            if (line.size() > 0) {
                lineNumber++;
                adapter.processBatch(line.toByteArray(), output);
            }
            return 0;
        } catch (InvalidValueException | IOException e) {
            String message = e instanceof JsonProcessingException p ? p.getOriginalMessage() : e.getMessage();
            errors.println("line " + Math.max(1, lineNumber) + ": " + message);
            return 1;
        }
    }

    private void processBatch(byte[] line, OutputStream output) throws IOException {
        JsonFields batch = JsonFields.parse("batch", line);
        long nowUs = batch.micros("at_time");
        ByteArrayOutputStream reply = new ByteArrayOutputStream(256);
        out = JSON.createGenerator(reply);
        out.writeStartObject();
        out.writeArrayFieldStart("output");
        for (JsonFields event : batch.nodes("inbox")) {
            processEvent(nowUs, event);
        }
        out.writeEndArray();
        out.writeEndObject();
        out.close();
        reply.write('\n');
        reply.writeTo(output);
        output.flush();
    }

    private void processEvent(long nowUs, JsonFields event) {
        String eventType = event.text("m");
        if (eventType.equals("POOL")) {
            List<EndpointInfo> endpoints = new ArrayList<>();
            for (JsonFields element : event.nodes("elements")) {
                endpoints.add(decodeEndpoint(element));
            }
            endpointLists.put(event.integer("ref"), endpoints);
            return;
        }
        String instanceId = event.textOr("i", null);
        if (instanceId == null) {
            return;
        }
        if (eventType.equals("HALT")) {
            instances.remove(instanceId);
            return;
        }
        if (eventType.equals("PROVISION")) {
            Instance instance = new Instance(instanceId);
            instances.put(instanceId, instance);
            instance.runGuarded(() -> {
                JsonFields profile = event.node("profile_data");
                instance.settings = LoadBalancerSettingsDecoder.settings(profile);
                instance.loadReportFields = LoadReportFields.of(profile);
                instance.loadBalancer = new ShareLoadBalancer(instance.settings, event.integer("init_seed"), instance);
                instance.loadBalancer.start(nowUs);
            });
            return;
        }
        Instance instance = instances.get(instanceId);
        if (instance == null) {
            return;
        }
        instance.runGuarded(() -> instance.handleEvent(nowUs, eventType, event));
    }

    private static EndpointInfo decodeEndpoint(JsonFields element) {
        return new EndpointInfo(
                element.text("executor"),
                element.textOr("locality", ""),
                element.textOr("machine", ""),
                (int) element.integerOr("cluster", 0),
                LoadBalancerSettingsDecoder.state(element),
                element.numberOr("capacity_hint", 1),
                element.microsOr("since", 0));
    }

    /** One load balancer instance; encodes the actions that it requests. */
    private final class Instance implements LoadBalancer.Helper {
        private final String instanceId;
        private LoadBalancerSettings settings;
        private ShareLoadBalancer loadBalancer;
        private LoadReportFields loadReportFields;

        Instance(String instanceId) {
            this.instanceId = instanceId;
        }

        /** Calls the load balancer; an unexpected exception is reported as a CRASH action and ends the instance. */
        void runGuarded(Runnable call) {
            try {
                call.run();
            } catch (InvalidValueException e) {
                throw e;
            } catch (RuntimeException e) {
                StackTraceElement[] trace = e.getStackTrace();
                writeAction("CRASH", "text", e + (trace.length > 0 ? " at " + trace[0] : ""));
                instances.remove(instanceId);
            }
        }

        void handleEvent(long nowUs, String eventType, JsonFields event) {
            switch (eventType) {
                case "DIRECTORY_UPDATE" -> onListUpdate(nowUs, event);
                case "ARRIVAL" -> loadBalancer.onRequest(nowUs, decodeRequest(event));
                case "CLOSED_ATTEMPT" ->
                    loadBalancer.onAttemptEnd(
                            nowUs,
                            event.text("ref"),
                            (int) event.integerOr("n", 0),
                            decodeOutcome(event),
                            event.microsOr("took", 0),
                            event.flag("complete"),
                            loadReportFields.fromRow(event.list("feedback")));
                case "SIGNAL" -> onAttemptSignal(nowUs, event);
                case "PROBE_DONE" ->
                    loadBalancer.onProbeResult(
                            nowUs,
                            event.text("executor"),
                            event.integer("code") == 1,
                            event.microsOr("took", 0),
                            loadReportFields.fromRow(event.list("feedback")));
                case "HANGUP" -> loadBalancer.onClientDisconnected(nowUs, event.text("ref"));
                case "WAKEUP" -> loadBalancer.onTimer(nowUs, event.integer("mark"));
                default -> {}
            }
        }

        private void onListUpdate(long nowUs, JsonFields event) {
            ListUpdateKind kind =
                    switch (event.text("scope")) {
                        case "update" -> ListUpdateKind.DELTA;
                        case "replace" -> ListUpdateKind.FULL;
                        case "restored" -> ListUpdateKind.RESTORED;
                        case "unavailable" -> ListUpdateKind.FAILED;
                        default -> throw event.unknownValue("scope");
                    };
            List<EndpointInfo> listed =
                    kind == ListUpdateKind.FAILED ? List.of() : endpointLists.get(event.integer("ref"));
            if (listed == null) {
                throw new InvalidValueException("POOL " + event.integer("ref") + " was never defined");
            }
            loadBalancer.onListUpdate(nowUs, kind, listed);
        }

        private Request decodeRequest(JsonFields event) {
            return new Request(
                    event.text("ref"),
                    event.text("lane"),
                    decodeTenant(event),
                    event.textOr("key", null),
                    event.micros("left"),
                    event.has("cost") ? event.number("cost") * MICROS_PER_SECOND : Double.NaN,
                    (int) event.integerOr("slots", 1),
                    event.numberOr("ram_units", Double.NaN),
                    event.flag("retry"));
        }

        private void onAttemptSignal(long nowUs, JsonFields event) {
            long topic = event.integer("topic");
            if (topic == TOPIC_STARTED || topic == TOPIC_PROGRESS) {
                AttemptSignal signal = topic == TOPIC_STARTED ? AttemptSignal.STARTED : AttemptSignal.PROGRESS;
                loadBalancer.onAttemptSignal(
                        nowUs, event.text("ref"), (int) event.integerOr("n", 0), signal, event.numberOr("amount", 0));
            }
        }

        private String decodeTenant(JsonFields event) {
            return event.get("customer") instanceof String s ? s : null;
        }

        private AttemptOutcome decodeOutcome(JsonFields event) {
            long code = event.integer("code");
            if (code < 1 || code > AttemptOutcome.NOT_SENT.ordinal() + 1) {
                throw new InvalidValueException("code: unknown outcome " + code);
            }
            return AttemptOutcome.values()[(int) code - 1];
        }

        @Override
        public void send(String id, String endpoint, long timeoutUs) {
            writeAction("RELAY", "ref", id, "executor", endpoint, "limit", timeoutUs > 0 ? timeoutUs / 1e6 : null);
        }

        @Override
        public void reject(String id, long retryAfterUs) {
            writeAction(
                    "OVERLOAD_REPLY",
                    "ref",
                    id,
                    "not_before_for",
                    settings.limits().retryAfterAllowed() && retryAfterUs > 0 ? retryAfterUs / 1e6 : null);
        }

        @Override
        public void fail(String id) {
            writeAction("ABORT", "ref", id);
        }

        @Override
        public void cancel(String id, int attempt) {
            writeAction("DROP_ATTEMPT", "ref", id, "n", (long) attempt);
        }

        @Override
        public void probe(String endpoint) {
            writeAction("SAMPLE", "executor", endpoint);
        }

        @Override
        public void closeIdleConnections(String endpoint) {
            writeAction("DROP_CONNS", "executor", endpoint);
        }

        @Override
        public void watchEndpointList() {
            writeAction("WATCH", "on", true);
        }

        @Override
        public void schedule(long timerId, long delayUs) {
            writeAction("TIMER", "mark", timerId, "span", delayUs / 1e6);
        }

        private void writeAction(String actionType, Object... fields) {
            try {
                out.writeStartObject();
                out.writeStringField("m", actionType);
                out.writeStringField("i", instanceId);
                for (int fieldIndex = 0; fieldIndex < fields.length; fieldIndex += 2) {
                    Object value = fields[fieldIndex + 1];
                    if (value == null) {
                        continue;
                    }
                    out.writeFieldName((String) fields[fieldIndex]);
                    if (value instanceof Long l) {
                        out.writeNumber(l);
                    } else if (value instanceof Double d) {
                        out.writeNumber(d);
                    } else if (value instanceof Boolean b) {
                        out.writeBoolean(b);
                    } else {
                        out.writeString((String) value);
                    }
                }
                out.writeEndObject();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
