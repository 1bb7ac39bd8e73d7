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

/** The adapter for the simulator's wire: translates events and actions, decides nothing. */
public final class SimulatorAdapter {
    private static final JsonFactory JSON = new JsonFactory();
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long TOPIC_STARTED = 1;
    private static final long TOPIC_PROGRESS = 2;

    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<Long, List<EndpointInfo>> pools = new LinkedHashMap<>();
    private JsonGenerator out;

    private SimulatorAdapter() {}

    /** Serves batches until the input ends; returns the exit status. */
    public static int run(InputStream input, OutputStream output, PrintStream errors) {
        SimulatorAdapter wire = new SimulatorAdapter();
        ByteArrayOutputStream line = new ByteArrayOutputStream(1 << 16);
        long number = 0;
        try {
            byte[] chunk = new byte[1 << 16];
            for (int n = input.read(chunk); n >= 0; n = input.read(chunk)) {
                int from = 0;
                for (int i = 0; i < n; i++) {
                    if (chunk[i] == '\n') {
                        line.write(chunk, from, i - from);
                        from = i + 1;
                        number++;
                        wire.batch(line.toByteArray(), output);
                        line.reset();
                    }
                }
                line.write(chunk, from, n - from);
            }
            if (line.size() > 0) {
                number++;
                wire.batch(line.toByteArray(), output);
            }
            return 0;
        } catch (InvalidValueException | IOException e) {
            String what = e instanceof JsonProcessingException p ? p.getOriginalMessage() : e.getMessage();
            errors.println("line " + Math.max(1, number) + ": " + what);
            return 1;
        }
    }

    private void batch(byte[] text, OutputStream output) throws IOException {
        JsonFields batch = JsonFields.parse("batch", text);
        long now = batch.micros("at_time");
        ByteArrayOutputStream reply = new ByteArrayOutputStream(256);
        out = JSON.createGenerator(reply);
        out.writeStartObject();
        out.writeArrayFieldStart("output");
        for (JsonFields event : batch.nodes("inbox")) {
            event(now, event);
        }
        out.writeEndArray();
        out.writeEndObject();
        out.close();
        reply.write('\n');
        reply.writeTo(output);
        output.flush();
    }

    private void event(long now, JsonFields e) {
        String name = e.text("m");
        if (name.equals("POOL")) {
            List<EndpointInfo> entries = new ArrayList<>();
            for (JsonFields n : e.nodes("elements")) {
                entries.add(entry(n));
            }
            pools.put(e.integer("ref"), entries);
            return;
        }
        String instance = e.textOr("i", null);
        if (instance == null) {
            return;
        }
        if (name.equals("HALT")) {
            hosts.remove(instance);
            return;
        }
        if (name.equals("PROVISION")) {
            Host host = new Host(instance);
            hosts.put(instance, host);
            host.guard(() -> {
                JsonFields profile = e.node("profile_data");
                host.settings = LoadBalancerSettingsDecoder.settings(profile);
                host.report = LoadReportFields.of(profile);
                host.module = new ShareLoadBalancer(host.settings, e.integer("init_seed"), host);
                host.module.start(now);
            });
            return;
        }
        Host host = hosts.get(instance);
        if (host == null) {
            return;
        }
        host.guard(() -> host.event(now, name, e));
    }

    private static EndpointInfo entry(JsonFields n) {
        return new EndpointInfo(
                n.text("executor"),
                n.textOr("locality", ""),
                n.textOr("machine", ""),
                (int) n.integerOr("cluster", 0),
                LoadBalancerSettingsDecoder.state(n),
                n.numberOr("capacity_hint", 1),
                n.microsOr("since", 0));
    }

    /** One instance: its module, and the actions it asks for. */
    private final class Host implements LoadBalancer.Helper {
        private final String instance;
        private LoadBalancerSettings settings;
        private ShareLoadBalancer module;
        private LoadReportFields report;

        Host(String instance) {
            this.instance = instance;
        }

        /** Runs a call of the module; its failure is reported as the wire's crash action. */
        void guard(Runnable call) {
            try {
                call.run();
            } catch (InvalidValueException e) {
                throw e;
            } catch (RuntimeException e) {
                StackTraceElement[] trace = e.getStackTrace();
                action("CRASH", "text", e + (trace.length > 0 ? " at " + trace[0] : ""));
                hosts.remove(instance);
            }
        }

        void event(long now, String name, JsonFields e) {
            switch (name) {
                case "DIRECTORY_UPDATE" -> onListUpdate(now, e);
                case "ARRIVAL" -> module.onRequest(now, request(e));
                case "CLOSED_ATTEMPT" ->
                    module.onAttemptEnd(
                            now,
                            e.text("ref"),
                            (int) e.integerOr("n", 0),
                            outcome(e),
                            e.microsOr("took", 0),
                            e.flag("complete"),
                            report.row(e.list("feedback")));
                case "SIGNAL" -> onSignal(now, e);
                case "PROBE_DONE" ->
                    module.onProbeResult(
                            now,
                            e.text("executor"),
                            e.integer("code") == 1,
                            e.microsOr("took", 0),
                            report.row(e.list("feedback")));
                case "HANGUP" -> module.onClientGone(now, e.text("ref"));
                case "WAKEUP" -> module.onTimer(now, e.integer("mark"));
                default -> {}
            }
        }

        private void onListUpdate(long now, JsonFields e) {
            ListUpdateKind kind =
                    switch (e.text("scope")) {
                        case "update" -> ListUpdateKind.DELTA;
                        case "replace" -> ListUpdateKind.FULL;
                        case "restored" -> ListUpdateKind.RESTORED;
                        case "unavailable" -> ListUpdateKind.FAILED;
                        default -> throw e.unknown("scope");
                    };
            List<EndpointInfo> listed = kind == ListUpdateKind.FAILED ? List.of() : pools.get(e.integer("ref"));
            if (listed == null) {
                throw new InvalidValueException("POOL " + e.integer("ref") + " was never defined");
            }
            module.onListUpdate(now, kind, listed);
        }

        private Request request(JsonFields e) {
            return new Request(
                    e.text("ref"),
                    e.text("lane"),
                    tenant(e),
                    e.textOr("key", null),
                    e.micros("left"),
                    e.has("cost") ? e.number("cost") * MICROS_PER_SECOND : Double.NaN,
                    (int) e.integerOr("slots", 1),
                    e.numberOr("ram_units", Double.NaN),
                    e.flag("retry"));
        }

        private void onSignal(long now, JsonFields e) {
            long topic = e.integer("topic");
            if (topic == TOPIC_STARTED || topic == TOPIC_PROGRESS) {
                AttemptSignal signal = topic == TOPIC_STARTED ? AttemptSignal.STARTED : AttemptSignal.PROGRESS;
                module.onAttemptSignal(now, e.text("ref"), (int) e.integerOr("n", 0), signal, e.numberOr("amount", 0));
            }
        }

        private String tenant(JsonFields e) {
            return e.get("customer") instanceof String s ? s : null;
        }

        private AttemptOutcome outcome(JsonFields e) {
            long code = e.integer("code");
            if (code < 1 || code > AttemptOutcome.NOT_SENT.ordinal() + 1) {
                throw new InvalidValueException("code: unknown outcome " + code);
            }
            return AttemptOutcome.values()[(int) code - 1];
        }

        @Override
        public void send(String id, String worker, long timeout) {
            action("RELAY", "ref", id, "executor", worker, "limit", timeout > 0 ? timeout / 1e6 : null);
        }

        @Override
        public void reject(String id, long retryAfter) {
            action(
                    "OVERLOAD_REPLY",
                    "ref",
                    id,
                    "not_before_for",
                    settings.limits().retryAfterAllowed() && retryAfter > 0 ? retryAfter / 1e6 : null);
        }

        @Override
        public void fail(String id) {
            action("ABORT", "ref", id);
        }

        @Override
        public void cancel(String id, int attempt) {
            action("DROP_ATTEMPT", "ref", id, "n", (long) attempt);
        }

        @Override
        public void probe(String worker) {
            action("SAMPLE", "executor", worker);
        }

        @Override
        public void closeIdleConnections(String worker) {
            action("DROP_CONNS", "executor", worker);
        }

        @Override
        public void watchEndpointList() {
            action("WATCH", "on", true);
        }

        @Override
        public void schedule(long mark, long delay) {
            action("TIMER", "mark", mark, "span", delay / 1e6);
        }

        private void action(String name, Object... fields) {
            try {
                out.writeStartObject();
                out.writeStringField("m", name);
                out.writeStringField("i", instance);
                for (int f = 0; f < fields.length; f += 2) {
                    Object value = fields[f + 1];
                    if (value == null) {
                        continue;
                    }
                    out.writeFieldName((String) fields[f]);
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
