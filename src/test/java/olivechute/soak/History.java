package olivechute.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * Events that clients, servers and discovery of one run recorded. Times are microseconds on the monotonic clock.
 * Thread-safe.
 */
final class History {
    /** Outcome of a request for its client. */
    enum Ending {
        /** A complete response arrived. */
        ANSWERED,
        /** The client disconnected before a response. */
        LEFT,
        /** The connection ended without a complete response. */
        CUT,
        /** Nothing arrived while the client listened. */
        SILENT,
        /** The request was never written completely. */
        NOT_SENT
    }

    /**
     * A request as its client saw it; {@code port} is the client's own, {@code first} tells whether it was the first on
     * its connection, {@code sentUs} is the time of its last byte.
     */
    record ClientRequest(
            String id,
            String requestClass,
            String node,
            int port,
            boolean first,
            long sentUs,
            long deadlineUs,
            Ending ending,
            int status,
            long endedUs,
            String answer) {}

    /** Outcome of an attempt for its server. */
    enum AttemptEnd {
        DONE,
        FAILED,
        /** Returned or rejected: it never ran. */
        RETURNED,
        /** The server reported that it lost the job. */
        LOST,
        /** The server reset the connection before its response. */
        RESET,
        /** The node cancelled it. */
        GIVEN_UP,
        /** It is still in progress. */
        OPEN
    }

    /**
     * An attempt as its server saw it: the first byte arrived at {@code beganUs}, the last at {@code completeUs}, and
     * it told the server that {@code remainingUs} were left until its deadline.
     */
    static final class Attempt {
        final String id;
        final String requestClass;
        final String node;
        final String server;
        final long beganUs;
        final long completeUs;
        final long remainingUs;
        private AttemptEnd end = AttemptEnd.OPEN;
        private long endedUs = Long.MAX_VALUE;

        Attempt(
                String id,
                String requestClass,
                String node,
                String server,
                long beganUs,
                long completeUs,
                long remainingUs) {
            this.id = id;
            this.requestClass = requestClass;
            this.node = node;
            this.server = server;
            this.beganUs = beganUs;
            this.completeUs = completeUs;
            this.remainingUs = remainingUs;
        }

        /** Returns true for the first call only. */
        synchronized boolean end(AttemptEnd as) {
            if (end != AttemptEnd.OPEN) {
                return false;
            }
            end = as;
            endedUs = nowUs();
            return true;
        }

        synchronized AttemptEnd end() {
            return end;
        }

        synchronized long endedUs() {
            return endedUs;
        }

        @Override
        public synchronized String toString() {
            return "attempt " + id + " " + requestClass + " at " + server + " from " + node + " began " + beganUs
                    + " complete " + completeUs + " remaining " + remainingUs + " " + end + " at "
                    + (endedUs == Long.MAX_VALUE ? "-" : endedUs);
        }
    }

    /** A node's process was notified, or counts as notified, that a server drains or accepts new requests again. */
    record Notice(String node, String server, boolean takes, long atUs) {}

    /**
     * A process of a node: started, ready, sent SIGTERM at {@code termUs}, sent SIGKILL between {@code killFromUs} and
     * {@code killedUs}. A time is {@code Long.MAX_VALUE} if it has not come, as that of SIGKILL if the process had
     * ended before. Only a process that gets no SIGTERM is not {@code planned}. A process is recorded at the end of the
     * wait until it is ready, and again when it is stopped, then with {@code startedUs} as {@code readyUs}.
     */
    record Incarnation(
            String node, long startedUs, long termUs, long killFromUs, long killedUs, boolean planned, long readyUs) {}

    /**
     * A client that stalled mid-request, and when it got a response or the end of the connection; {@code nodeLived} if
     * the node was not killed meanwhile.
     */
    record StalledClient(String node, long stoppedUs, long endedUs, boolean nodeLived) {}

    private final List<ClientRequest> requests = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<Notice> notices = new ArrayList<>();
    private final List<Incarnation> incarnations = new ArrayList<>();
    private final List<StalledClient> stalledClients = new ArrayList<>();

    static long nowUs() {
        return System.nanoTime() / 1000;
    }

    synchronized void add(ClientRequest request) {
        requests.add(request);
    }

    synchronized void add(Attempt attempt) {
        attempts.add(attempt);
    }

    synchronized void add(Notice notice) {
        notices.add(notice);
    }

    synchronized void add(Incarnation incarnation) {
        incarnations.add(incarnation);
    }

    synchronized void add(StalledClient client) {
        stalledClients.add(client);
    }

    synchronized List<ClientRequest> requests() {
        return List.copyOf(requests);
    }

    synchronized List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    synchronized List<Notice> notices() {
        return List.copyOf(notices);
    }

    synchronized List<Incarnation> incarnations() {
        return List.copyOf(incarnations);
    }

    synchronized List<StalledClient> stalledClients() {
        return List.copyOf(stalledClients);
    }
}
