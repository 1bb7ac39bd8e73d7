package olivechute.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Checks the invariants against the history of one run. Limits of times seen at sockets get a tolerance of 50 ms. */
final class SoakInvariants {
    private static final long SOCKET_TOLERANCE_US = 50_000;
    private static final long MAX_LATENESS_US = 500_000; // of a response, after the deadline of its request
    private static final long DISCONNECT_DETECTION_US = 100_000;
    private static final long DEADLINE_SLACK_US =
            150_000; // excess of the time that a server is told over the time left
    private static final long STALLED_CLIENT_TIMEOUT_US = 3_000_000;
    private static final long READY_TIMEOUT_US = 10_000_000;
    private static final long DRAIN_GRACE_US = 500_000; // drain_grace of the nodes' configuration
    /** Requests in progress this shortly before an unannounced kill may be lost. */
    private static final long KILL_TOLERANCE_US = 50_000;
    /** Records of a port up to this long before a request belong to the same connection, not to an earlier one. */
    private static final long RECORD_WINDOW_US = 5_000_000;

    private final History history;
    private final Map<String, FaultShim> shims;
    private final List<Violation> found = new ArrayList<>();
    private final Map<String, List<History.Attempt>> attempts = new HashMap<>();

    /** A violated invariant and the trace that shows it. */
    record Violation(String rule, String trace) {}

    private SoakInvariants(History history, Map<String, FaultShim> shims) {
        this.history = history;
        this.shims = shims;
        for (History.Attempt attempt : history.attempts()) {
            attempts.computeIfAbsent(attempt.id, id -> new ArrayList<>()).add(attempt);
        }
        attempts.values().forEach(list -> list.sort(Comparator.comparingLong(a -> a.completeUs)));
    }

    static List<Violation> check(History history, Map<String, FaultShim> shims) {
        SoakInvariants rules = new SoakInvariants(history, shims);
        history.requests().forEach(rules::checkFinalAnswer);
        history.requests().forEach(rules::checkDisconnectedClient);
        history.requests().forEach(rules::checkDeadlinePropagation);
        rules.attempts.values().forEach(rules::checkAttemptsDoNotOverlap);
        history.attempts().forEach(rules::checkDrainingServers);
        history.stalledClients().forEach(rules::checkStalledClient);
        history.incarnations().forEach(rules::checkReadyInTime);
        return rules.found;
    }

    private void addViolation(String rule, Object what, String id) {
        StringBuilder trace = new StringBuilder(what.toString());
        attempts.getOrDefault(id, List.of()).forEach(a -> trace.append("\n    ").append(a));
        if (what instanceof History.ClientRequest request) {
            history.incarnations().stream()
                    .filter(i -> i.node().equals(request.node()))
                    .forEach(i -> trace.append("\n    ").append(i));
        }
        found.add(new Violation(rule, trace.toString()));
    }

    private void checkFinalAnswer(History.ClientRequest request) {
        switch (request.ending()) {
            case ANSWERED -> {
                if (request.status() == 200 && !request.answer().equals(request.id())) {
                    addViolation("served with a result that no server produced for it", request, request.id());
                }
                if (request.endedUs()
                        > request.sentUs() + request.deadlineUs() + MAX_LATENESS_US + SOCKET_TOLERANCE_US) {
                    addViolation("lost: answered too late", request, request.id());
                }
            }
            case SILENT -> addViolation("lost: no answer", request, request.id());
            case CUT -> checkConnectionEnd(request);
            default -> {
                return;
            }
        }
    }

    /**
     * Checks a request whose connection ended without a response. The node may close an idle connection although a
     * request that it has not read arrives on it. It is not responsible for connections that the fault library broke or
     * that ended with a kill without SIGTERM.
     */
    private void checkConnectionEnd(History.ClientRequest request) {
        if (connectionFaultInjected(request) || killedWithoutWarning(request)) {
            return;
        }
        if (!attempts.getOrDefault(request.id(), List.of()).isEmpty()) {
            addViolation("lost: the connection ended under a request that was sent on", request, request.id());
        } else if (endedAfterRead(request)) {
            addViolation("lost: the connection ended under a request that was read", request, request.id());
        } else if (killedInDrain(request) && !endedBefore(request)) {
            addViolation("lost: unanswered when SIGKILL was sent", request, request.id());
        }
    }

    private boolean connectionFaultInjected(History.ClientRequest request) {
        return recorded(request, e -> e.event().equals("BROKE"));
    }

    private boolean endedAfterRead(History.ClientRequest request) {
        return recorded(request, e -> e.event().equals("END") && e.bytes() > 0);
    }

    /** Returns whether the node closed the idle connection before this request was written. */
    private boolean endedBefore(History.ClientRequest request) {
        return recorded(request, e -> e.event().equals("END") && e.bytes() == 0 && e.atUs() <= request.sentUs());
    }

    private boolean recorded(History.ClientRequest request, Predicate<FaultShim.Entry> what) {
        return shims.get(request.node()).entries().stream()
                .filter(e -> e.port() == request.port())
                .filter(e -> e.atUs() >= request.sentUs() - RECORD_WINDOW_US && e.atUs() <= request.endedUs())
                .anyMatch(what);
    }

    private boolean killedWithoutWarning(History.ClientRequest request) {
        return history.incarnations().stream()
                .anyMatch(i -> i.node().equals(request.node())
                        && !i.planned()
                        && request.sentUs() <= i.killedUs()
                        && request.endedUs() >= i.killFromUs() - KILL_TOLERANCE_US);
    }

    private boolean killedInDrain(History.ClientRequest request) {
        return history.incarnations().stream()
                .anyMatch(i -> i.node().equals(request.node())
                        && i.planned()
                        && request.sentUs() < i.killedUs()
                        && request.endedUs() >= i.killFromUs());
    }

    private void checkDisconnectedClient(History.ClientRequest request) {
        if (request.ending() != History.Ending.LEFT) {
            return;
        }
        for (History.Attempt attempt : attempts.getOrDefault(request.id(), List.of())) {
            if (attempt.beganUs > request.endedUs() + DISCONNECT_DETECTION_US + SOCKET_TOLERANCE_US) {
                addViolation("lost: an attempt began after its client had left", request, request.id());
            }
        }
    }

    private void checkDeadlinePropagation(History.ClientRequest request) {
        for (History.Attempt attempt : attempts.getOrDefault(request.id(), List.of())) {
            long left = request.sentUs() + request.deadlineUs() - attempt.beganUs;
            if (attempt.remainingUs > left + DEADLINE_SLACK_US + SOCKET_TOLERANCE_US) {
                addViolation(
                        "a server is told " + attempt.remainingUs + " us where " + left + " are left",
                        request,
                        request.id());
            }
        }
    }

    private void checkAttemptsDoNotOverlap(List<History.Attempt> all) {
        for (int i = 1; i < all.size(); i++) {
            History.Attempt before = all.get(i - 1);
            History.Attempt next = all.get(i);
            if (before.endedUs() > next.completeUs + SOCKET_TOLERANCE_US) {
                addViolation("duplicate: two attempts are in progress", next, next.id);
            } else if (next.requestClass.equals("pay") && before.end() != History.AttemptEnd.RETURNED) {
                addViolation("duplicate: a non-idempotent request that may have run is sent again", next, next.id);
            }
        }
    }

    private void checkDrainingServers(History.Attempt attempt) {
        History.Notice last = null;
        for (History.Notice notice : history.notices()) {
            boolean heard = notice.node().equals(attempt.node)
                    && notice.server().equals(attempt.server)
                    && notice.atUs() <= attempt.beganUs
                    && notice.atUs() >= incarnationStartUs(attempt.node, attempt.beganUs);
            if (heard && (last == null || notice.atUs() >= last.atUs())) {
                last = notice;
            }
        }
        if (last != null && !last.takes() && attempt.beganUs > last.atUs() + DRAIN_GRACE_US + SOCKET_TOLERANCE_US) {
            addViolation("drain: sent to a draining server, " + last, attempt, attempt.id);
        }
    }

    /** Returns the start time of the process that sent an attempt at this time. */
    private long incarnationStartUs(String node, long atUs) {
        return history.incarnations().stream()
                .filter(i -> i.node().equals(node) && i.startedUs() <= atUs)
                .mapToLong(History.Incarnation::startedUs)
                .max()
                .orElse(0);
    }

    private void checkStalledClient(History.StalledClient client) {
        if (client.nodeLived()
                && client.endedUs() - client.stoppedUs() > STALLED_CLIENT_TIMEOUT_US + SOCKET_TOLERANCE_US) {
            addViolation("a client that stalled mid-request is not disconnected", client, "");
        }
    }

    private void checkReadyInTime(History.Incarnation incarnation) {
        if (incarnation.readyUs() - incarnation.startedUs() > READY_TIMEOUT_US) {
            addViolation("not ready within 10 s", incarnation, "");
        }
    }
}
