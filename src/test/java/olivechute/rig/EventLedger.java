package olivechute.rig;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Events recorded by clients and workers for {@link FleetInvariants}. Times are ms of {@link #now}. Thread-safe. */
public final class EventLedger {
    private static final int MAX_ENTRIES = 200_000; // of each kind

    /** Outcome of a job for its client. */
    public enum Outcome {
        /** 200. */
        SERVED,
        /** 429 or 503. */
        REFUSED,
        /** Any other response. */
        FAILED,
        /** The connection ended without a complete response, or none arrived in time. */
        LOST,
        /** No connection was established, or it failed before the request was written: the job was never submitted. */
        NOT_TAKEN
    }

    /** A job that a client submitted to a node, and its outcome. */
    public record Job(
            String id, String requestClass, String key, String node, long sent, long ended, Outcome end, int status) {}

    /** A response that a client read; {@code id} is the job that it answers, which may be another than was awaited. */
    public record Answer(String id, String node, long atMs) {}

    /** One execution of a job by a worker; {@code done} if it completed and was not cancelled before. */
    public record Execution(
            String worker,
            String node,
            String id,
            String requestClass,
            String key,
            long started,
            long ended,
            boolean done) {}

    /** A readiness probe that was sent and answered (or failed) at these times. */
    public record ReadinessProbe(String node, long sent, long answered, boolean ready) {}

    /** A period during which the test itself prevented a node from serving: it killed, paused or partitioned it. */
    public record Outage(String node, long from, long to) {}

    private final List<Job> jobs = new ArrayList<>();
    private final List<Answer> answers = new ArrayList<>();
    private final List<Execution> executions = new ArrayList<>();
    private final List<ReadinessProbe> probes = new ArrayList<>();
    private final List<Outage> outages = new ArrayList<>();

    /** Returns the time of entries, in ms of {@link System#nanoTime}. */
    public static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private synchronized <T> void add(List<T> list, T entry) {
        if (list.size() == MAX_ENTRIES) {
            throw new TestSetupException("more than " + MAX_ENTRIES + " entries: reduce the load");
        }
        list.add(entry);
    }

    public void add(Job job) {
        add(jobs, job);
    }

    public void add(Answer answer) {
        add(answers, answer);
    }

    public void add(Execution execution) {
        add(executions, execution);
    }

    public void add(ReadinessProbe probe) {
        add(probes, probe);
    }

    /** Excludes the jobs of this node in this period from the check for lost jobs. */
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

    /** Returns the number of jobs by class and outcome, for the output of a test. */
    public Map<String, Long> counts() {
        Map<String, Long> counts = new TreeMap<>();
        jobs().forEach(job -> counts.merge(job.requestClass() + " " + job.end(), 1L, Long::sum));
        return counts;
    }

    /** Returns the number of jobs of a class with this outcome. */
    public long count(String requestClass, Outcome end) {
        return jobs().stream()
                .filter(job -> job.requestClass().equals(requestClass) && job.end() == end)
                .count();
    }
}
