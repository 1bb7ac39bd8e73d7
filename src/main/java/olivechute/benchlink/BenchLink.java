package olivechute.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import olivechute.decision.Decide;
import olivechute.decision.DispatchApi;

/** The adapter for the simulator's wire: translates events and actions, decides nothing. */
public final class BenchLink {
    private static final JsonFactory JSON = new JsonFactory();

    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<Long, List<DispatchApi.Entry>> pools = new LinkedHashMap<>();
    private JsonGenerator out;

    private BenchLink() { }

    /** A message that does not follow the wire. */
    static final class WireException extends RuntimeException {
        WireException(String text) {
            super(text);
        }
    }

    /** Serves batches until the input ends; returns the exit status. */
    public static int run(InputStream input, OutputStream output, PrintStream errors) {
        BenchLink wire = new BenchLink();
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
        } catch (WireException | IOException e) {
            String what = e instanceof JsonProcessingException p ? p.getOriginalMessage() : e.getMessage();
            errors.println("line " + Math.max(1, number) + ": " + what);
            return 1;
        }
    }

    private void batch(byte[] text, OutputStream output) throws IOException {
        Node batch;
        try (JsonParser parser = JSON.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new WireException("a batch must be an object");
            }
            batch = new Node("batch", object(parser));
            if (parser.nextToken() != null) {
                throw new WireException("more than one value on a line");
            }
        }
        long now = batch.micros("at_time");
        ByteArrayOutputStream reply = new ByteArrayOutputStream(256);
        out = JSON.createGenerator(reply);
        out.writeStartObject();
        out.writeArrayFieldStart("output");
        for (Node event : batch.nodes("inbox")) {
            event(now, event);
        }
        out.writeEndArray();
        out.writeEndObject();
        out.close();
        reply.write('\n');
        reply.writeTo(output);
        output.flush();
    }

    private void event(long now, Node e) {
        String name = e.text("m");
        if (name.equals("POOL")) {
            List<DispatchApi.Entry> entries = new ArrayList<>();
            for (Node n : e.nodes("elements")) {
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
                host.settings = settings(e.node("profile_data"), host);
                host.module = new Decide(host.settings, e.integer("init_seed"), host);
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

    private static DispatchApi.Entry entry(Node n) {
        DispatchApi.State state = switch (n.text("status")) {
            case "active" -> DispatchApi.State.ACTIVE;
            case "leaving" -> DispatchApi.State.DRAINING;
            case "left" -> DispatchApi.State.GONE;
            default -> throw new WireException("status: unknown word " + n.text("status"));
        };
        return new DispatchApi.Entry(n.text("executor"), n.textOr("locality", ""), n.textOr("machine", ""),
            (int) n.integerOr("cluster", 0), state, n.numberOr("capacity_hint", 1), n.microsOr("since", 0));
    }

    private static DispatchApi.Settings settings(Node n, Host host) {
        Node domain = n.node("domain");
        List<Node> classNodes = n.nodes("profiles");
        List<Object> stretch = domain.list("class_stretch");
        List<Object> kinds = domain.list("class_kind");
        List<Object> priority = domain.list("class_priority");
        List<Object> kindNames = n.list("kinds");
        List<DispatchApi.RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < classNodes.size(); i++) {
            Node c = classNodes.get(i);
            DispatchApi.Effect effect = switch (c.textOr("effect", "fragile")) {
                case "retryable" -> DispatchApi.Effect.SAFE;
                case "dedup" -> DispatchApi.Effect.KEYED;
                case "fragile" -> DispatchApi.Effect.UNSAFE;
                default -> throw new WireException("effect: unknown word " + c.text("effect"));
            };
            DispatchApi.Group group = switch (c.textOr("group", "cell")) {
                case "all" -> DispatchApi.Group.ALL;
                case "zone" -> DispatchApi.Group.ZONE;
                case "cell" -> DispatchApi.Group.CELL;
                default -> throw new WireException("group: unknown word " + c.text("group"));
            };
            long deadline = c.micros("deadline");
            int kind = (int) at(kinds, i, -1);
            classes.add(new DispatchApi.RequestClass(c.text("name"), deadline,
                Math.min(deadline, c.microsOr("goal_time", deadline)),
                c.numberOr("aim_stretch", at(stretch, i, 0)), c.numberOr("credit", 1), c.numberOr("late_share", 0),
                effect, group, c.microsOr("window", 0),
                kind >= 0 && kind < kindNames.size() ? String.valueOf(kindNames.get(kind)) : null,
                (int) at(priority, i, 0)));
        }
        List<DispatchApi.Tenant> tenants = new ArrayList<>();
        for (Node t : n.nodes("accounts")) {
            tenants.add(new DispatchApi.Tenant(t.text("name"), t.numberOr("share", 0), t.numberOr("quota_per_s", 0)));
        }
        Node rules = n.node("rules");
        Node limits = n.node("ceilings");
        Node report = n.node("report");
        Node prices = n.node("prices");
        Node mix = n.node("result_mix");
        host.fields = report.list("fields");
        DispatchApi.Reports via = switch (report.textOr("via", "off")) {
            case "inline" -> DispatchApi.Reports.WITH_ANSWERS;
            case "on_probe" -> DispatchApi.Reports.ON_PROBE;
            default -> DispatchApi.Reports.NONE;
        };
        host.freeField = field(domain, host.fields, "free slots");
        host.memoryField = field(domain, host.fields, "free memory");
        if (host.freeField < 0) {
            via = DispatchApi.Reports.NONE;
        }
        return new DispatchApi.Settings(classes, tenants, n.textOr("az", ""), (int) n.integerOr("fleet_size", 1),
            new DispatchApi.Rules(rules.microsOr("answer_slack", 0), rules.microsOr("ask_every", 10_000_000),
                rules.microsOr("drain_grace", 0), rules.numberOr("start_capacity", 0.1),
                rules.microsOr("ramp_time", 30_000_000), rules.numberOr("fall_multiple", 2),
                rules.microsOr("overload_for", 2_000_000), rules.flag("only_draining_binds")),
            new DispatchApi.Limits(limits.flag("probes"), limits.flag("cancel"), limits.flag("parallel_tries"),
                limits.flag("retry_after"), (int) limits.integerOr("try_limit", 1),
                limits.microsOr("max_retry_after", 0), limits.microsOr("conn_idle", 0)),
            via, domain.flag("tells_start"), n.textOr("discovery", "automatic").equals("subscribe"),
            n.numberOr("over_share_worth", 1), new DispatchApi.Prices(prices.numberOr("cross_zone", 0),
                prices.numberOr("probe", 0), prices.numberOr("handshake", 0), prices.numberOr("connection", 0)),
            new DispatchApi.Tail(mix.part("tail_part", 1), mix.part("tail_miss", 1)),
            n.node("clients").flag("marks_retry"));
    }

    /** The place in a report of the value that means this, -1 if there is none. */
    private static int field(Node domain, List<Object> fields, String meaning) {
        return domain.textOr("report_x0", "").equals(meaning) ? fields.indexOf("x0")
            : domain.textOr("report_x1", "").equals(meaning) ? fields.indexOf("x1") : -1;
    }

    private static double at(List<Object> list, int i, double otherwise) {
        return i >= 0 && i < list.size() && list.get(i) instanceof Number v ? v.doubleValue() : otherwise;
    }

    /** One instance: its module, and the actions it asks for. */
    private final class Host implements DispatchApi.Actions {
        private final String instance;
        private DispatchApi.Settings settings;
        private Decide module;
        private List<Object> fields = List.of();
        private int freeField = -1;
        private int memoryField = -1;

        Host(String instance) {
            this.instance = instance;
        }

        /** Runs a call of the module; its failure is reported as the wire's crash action. */
        void guard(Runnable call) {
            try {
                call.run();
            } catch (WireException e) {
                throw e;
            } catch (RuntimeException e) {
                StackTraceElement[] trace = e.getStackTrace();
                action("CRASH", "text", e + (trace.length > 0 ? " at " + trace[0] : ""));
                hosts.remove(instance);
            }
        }

        void event(long now, String name, Node e) {
            switch (name) {
                case "DIRECTORY_UPDATE" -> {
                    DispatchApi.ListKind kind = switch (e.text("scope")) {
                        case "update" -> DispatchApi.ListKind.DELTA;
                        case "replace" -> DispatchApi.ListKind.FULL;
                        case "restored" -> DispatchApi.ListKind.RESTORED;
                        case "unavailable" -> DispatchApi.ListKind.FAILED;
                        default -> throw new WireException("scope: unknown word " + e.text("scope"));
                    };
                    List<DispatchApi.Entry> entries = kind == DispatchApi.ListKind.FAILED ? List.of()
                        : pools.get(e.integer("ref"));
                    if (entries == null) {
                        throw new WireException("POOL " + e.integer("ref") + " was never defined");
                    }
                    module.list(now, kind, entries);
                }
                case "ARRIVAL" -> module.request(now, new DispatchApi.Request(e.text("ref"), e.text("lane"),
                    tenant(e), e.textOr("key", null), e.micros("left"),
                    e.has("cost") ? e.number("cost") * 1e6 : Double.NaN, (int) e.integerOr("slots", 1),
                    e.numberOr("ram_units", Double.NaN),
                    e.flag("retry")));
                case "CLOSED_ATTEMPT" -> module.outcome(now, e.text("ref"), (int) e.integerOr("n", 0), outcome(e),
                    e.microsOr("took", 0), e.flag("complete"), load(e));
                case "SIGNAL" -> {
                    long topic = e.integer("topic");
                    if (topic == 1 || topic == 2) {
                        module.note(now, e.text("ref"), (int) e.integerOr("n", 0),
                            topic == 1 ? DispatchApi.Note.STARTED : DispatchApi.Note.PROGRESS, e.numberOr("amount", 0));
                    }
                }
                case "PROBE_DONE" -> module.probed(now, e.text("executor"), e.integer("code") == 1,
                    e.microsOr("took", 0), load(e));
                case "HANGUP" -> module.hangup(now, e.text("ref"));
                case "WAKEUP" -> module.timer(now, e.integer("mark"));
                default -> { }
            }
        }

        private String tenant(Node e) {
            Object value = e.fields.get("customer");
            return value instanceof String s ? s : null;
        }

        private DispatchApi.Outcome outcome(Node e) {
            long code = e.integer("code");
            if (code < 1 || code > DispatchApi.Outcome.values().length) {
                throw new WireException("code: unknown outcome " + code);
            }
            return DispatchApi.Outcome.values()[(int) code - 1];
        }

        private DispatchApi.Load load(Node e) {
            List<Object> row = e.list("feedback");
            if (row.isEmpty()) {
                return DispatchApi.Load.NONE;
            }
            return new DispatchApi.Load(at(row, freeField, Double.NaN), at(row, memoryField, Double.NaN),
                field(row, "load_share"), field(row, "mean_ms"));
        }

        private double field(List<Object> row, String name) {
            return at(row, fields.indexOf(name), Double.NaN);
        }

        @Override
        public void send(String id, String worker, long timeout) {
            action("RELAY", "ref", id, "executor", worker, "limit", timeout > 0 ? timeout / 1e6 : null);
        }

        @Override
        public void refuse(String id, long retryAfter) {
            action("OVERLOAD_REPLY", "ref", id, "not_before_for", retryAfter > 0 ? retryAfter / 1e6 : null);
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
        public void closeIdle(String worker) {
            action("DROP_CONNS", "executor", worker);
        }

        @Override
        public void watch() {
            action("WATCH", "on", true);
        }

        @Override
        public void timer(long mark, long delay) {
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

    private static Map<String, Object> object(JsonParser p) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            String name = p.currentName();
            p.nextToken();
            fields.put(name, value(p));
        }
        return fields;
    }

    private static Object value(JsonParser p) throws IOException {
        switch (p.currentToken()) {
            case START_OBJECT:
                return object(p);
            case START_ARRAY:
                List<Object> list = new ArrayList<>();
                while (p.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(p));
                }
                return list;
            case VALUE_STRING:
                return p.getText();
            case VALUE_NUMBER_INT:
                return p.getNumberType() == JsonParser.NumberType.BIG_INTEGER ? (Object) p.getDoubleValue()
                    : (Object) p.getLongValue();
            case VALUE_NUMBER_FLOAT:
                return p.getDoubleValue();
            case VALUE_TRUE:
                return true;
            case VALUE_FALSE:
                return false;
            default:
                return null;
        }
    }

    /** A JSON object with readers that name the field when its type is wrong. */
    private static final class Node {
        private final String name;
        private final Map<String, Object> fields;

        Node(String name, Map<String, Object> fields) {
            this.name = name;
            this.fields = fields;
        }

        boolean has(String field) {
            return fields.get(field) != null;
        }

        private WireException wrong(String field, String wanted) {
            return new WireException(name + "." + field + ": " + (has(field) ? "must be " : "missing, must be ") + wanted);
        }

        String text(String field) {
            if (fields.get(field) instanceof String s) {
                return s;
            }
            throw wrong(field, "text");
        }

        String textOr(String field, String otherwise) {
            return has(field) ? text(field) : otherwise;
        }

        double number(String field) {
            if (fields.get(field) instanceof Number v) {
                return v.doubleValue();
            }
            throw wrong(field, "a number");
        }

        double numberOr(String field, double otherwise) {
            return has(field) ? number(field) : otherwise;
        }

        /** A number from 0 to {@code most}; 0 where it is not told. */
        double part(String field, double most) {
            double part = numberOr(field, 0);
            if (part >= 0 && part <= most) {
                return part;
            }
            throw wrong(field, "from 0 to " + most);
        }

        long integer(String field) {
            if (fields.get(field) instanceof Long v) {
                return v;
            }
            if (fields.get(field) instanceof Double v && v == Math.rint(v)) {
                return v.longValue();
            }
            throw wrong(field, "a whole number");
        }

        long integerOr(String field, long otherwise) {
            return has(field) ? integer(field) : otherwise;
        }

        long micros(String field) {
            return Math.round(number(field) * 1e6);
        }

        long microsOr(String field, long otherwise) {
            return has(field) ? micros(field) : otherwise;
        }

        boolean flag(String field) {
            Object v = fields.get(field);
            if (v == null || v instanceof Boolean) {
                return v != null && (Boolean) v;
            }
            throw wrong(field, "true or false");
        }

        List<Object> list(String field) {
            Object v = fields.get(field);
            if (v == null) {
                return List.of();
            }
            if (v instanceof List<?> l) {
                return Arrays.asList(l.toArray());
            }
            throw wrong(field, "an array");
        }

        Node node(String field) {
            Object v = fields.get(field);
            if (v == null) {
                return new Node(field, Map.of());
            }
            if (v instanceof Map<?, ?>) {
                return cast(field, v);
            }
            throw wrong(field, "an object");
        }

        List<Node> nodes(String field) {
            List<Node> nodes = new ArrayList<>();
            for (Object v : list(field)) {
                if (!(v instanceof Map<?, ?>)) {
                    throw wrong(field, "an array of objects");
                }
                nodes.add(cast(field, v));
            }
            return nodes;
        }

        @SuppressWarnings("unchecked")
        private static Node cast(String name, Object v) {
            return new Node(name, (Map<String, Object>) v);
        }
    }
}
