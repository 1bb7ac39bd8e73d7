package olivechute.rig;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What the stand-ins saw, as far as {@link FleetCheck} asks for it. Times are ms of {@link #now}. */
public final class EventLedger {
    private static final int MAX_ENTRIES = 200_000;

    /** How a job ended for its client. */
    public enum Outcome {
        /** 200. */
        SERVED,
        /** 429 or 503. */
        REFUSED,
        /** Any other answer. */
        FAILED,
        /** The connection ended without a whole answer, or none came in time. */
        LOST,
        /** No connection came up, or it broke before the request was written: it was never handed in. */
        NOT_TAKEN
    }

    /** A job that a client handed in to a node, and its end. */
    public record Job(
            String id, String requestClass, String key, String node, long sent, long ended, Outcome end, int status) {}

    /** An answer that a client read which belongs to this job, whichever it waited for. */
    public record Answer(String id, String node, long atMs) {}

    /** How a job went at a worker; {@code done}: it ran to its end and was not given up before. */
    public record Execution(
            String worker,
            String node,
            String id,
            String requestClass,
            String key,
            long started,
            long ended,
            boolean done) {}

    /** A look at a node's readiness that was sent and answered (or failed) between these moments. */
    public record ReadinessProbe(String node, long sent, long answered, boolean ready) {}

    /** The test itself stopped a node from serving: it killed or paused it, or cut its clients off. */
    public record Outage(String node, long from, long to) {}

    private final List<Job> jobs = new ArrayList<>();
    private final List<Answer> answers = new ArrayList<>();
    private final List<Execution> executions = new ArrayList<>();
    private final List<ReadinessProbe> probes = new ArrayList<>();
    private final List<Outage> outages = new ArrayList<>();

    /** The clock of all entries. */
    public static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private synchronized <T> void add(List<T> list, T entry) {
        if (list.size() == MAX_ENTRIES) {
            throw new TestSetupException("over " + MAX_ENTRIES + " entries: make the load smaller");
        }
        list.add(entry);
    }

    public void add(Job job) {
        add(jobs, job);
    }

    public void add(Answer answer) {
        add(answers, answer);
    }

    public void add(Execution run) {
        add(executions, run);
    }

    public void add(ReadinessProbe look) {
        add(probes, look);
    }

    /** The jobs that this node had between those moments are not asked for. */
    public void addOutage(String node, long from, long to) {
        add(outages, new Outage(node, from, to));
    }

    public synchronized List<Job> jobs() {
        return List.copyOf(jobs);
    }

    public synchronized List<Answer> answers() {
        return List.copyOf(answers);
    }

    public synchronized List<Execution> executions() {
        return List.copyOf(executions);
    }

    public synchronized List<ReadinessProbe> probes() {
        return List.copyOf(probes);
    }

    public synchronized List<Outage> outages() {
        return List.copyOf(outages);
    }

    /** Jobs by class and end, for a test's output. */
    public Map<String, Long> counts() {
        Map<String, Long> counts = new TreeMap<>();
        jobs().forEach(job -> counts.merge(job.requestClass() + " " + job.end(), 1L, Long::sum));
        return counts;
    }

    /** Jobs of a class with that end. */
    public long count(String requestClass, Outcome end) {
        return jobs().stream()
                .filter(job -> job.requestClass().equals(requestClass) && job.end() == end)
                .count();
    }
}
