package olivechute.endpointlist;

import java.util.function.DoubleSupplier;
import olivechute.loadbalancing.ServiceRules;

/**
 * Decides how long a call to discovery asks it to wait for changes, and by when its complete answer must have arrived,
 * in milliseconds. A call that times out is closed together with its connection, and discovery is polled again at once
 * on a new one. Used by the endpoint list watcher on the discovery thread.
 *
 * <p>Where discovery is <em>polled</em>, a change counts as notified {@value #NOTIFIED_AFTER_MS} ms after discovery had
 * it and was reachable, whether or not the calls in between succeeded. A watch may be silent from the start and the
 * call after it may be rejected, and a third call must still be answered by then; so the wait is at most
 * {@value #MAX_POLL_WAIT_MS} ms. It is drawn at random, starting at {@value #MIN_POLL_WAIT_MS} ms: nodes that start
 * together or receive the same change would otherwise time out at the same moment, and discovery, which handles calls
 * one after the other, would reject most of their second calls. If {@code rules.ask_every} is shorter than such a call,
 * the maximum wait is shortened to fit, and the wait is drawn between two thirds of that maximum and the maximum.
 *
 * <p>Where lists are <em>pushed</em>, an agent on the node's own machine has them and answers at once and at no cost,
 * and a change counts as notified as soon as the agent has it. A watch that is not answered must therefore end well
 * within the drain grace: its wait is at most a quarter of the grace, or {@code MIN_WAIT_MS} if that is longer, and its
 * timeout is twice the wait. An agent that does not answer, as while discovery is down, is polled repeatedly. The agent
 * too is polled at least as often as {@code rules.ask_every} says.
 */
public class WatchTimeouts {
    /** Bound of the protocol: no change counts as notified later than this after discovery had it. */
    static final int NOTIFIED_AFTER_MS = 6000;

    static final int MIN_POLL_WAIT_MS = 2000;
    static final int MAX_POLL_WAIT_MS = 3000;
    /** Time for the answer to arrive after the wait has ended. */
    static final int ANSWER_MARGIN_MS = 400;
    /**
     * Timeout of a call for the full list. A busy discovery rejects a call sooner, and one that has not rejected it may
     * still answer. A call that times out loses its place in discovery's queue, and its retry is queued behind all
     * others.
     */
    static final int FULL_LIST_TIMEOUT_MS = 2900;

    private static final int MICROS_PER_MS = 1000;
    /**
     * Timeout of a call for the changes since a version. An overloaded discovery queues calls for 3 s before it handles
     * them, and a node that gives up earlier has waited for nothing.
     */
    private static final int CHANGES_TIMEOUT_MS = MAX_POLL_WAIT_MS + ANSWER_MARGIN_MS;
    /** The longest timeout of a call after earlier ones timed out. */
    private static final int MAX_BACKOFF_TIMEOUT_MS = 12_000;

    private static final int SHORT_WAIT_MS = 1;
    /** The longest time without a call to an agent, however long the drain grace is. */
    private static final int MAX_AGENT_WAIT_MS = 1000;

    /** Lower limit of the waits that the settings shorten. */
    private static final int MIN_WAIT_MS = 50;

    /**
     * An agent that has a list answers far sooner than this; one that does not answer has notified the node of nothing.
     */
    private static final int FIRST_PUSHED_ANSWER_TIMEOUT_MS = 250;
    /** An overloaded discovery may reject a new process several times; the node must become ready all the same. */
    private static final int FIRST_POLLED_ANSWER_TIMEOUT_MS = 4000;

    private final boolean pushed;
    private final int agentWaitMs;
    private final int maxPollWaitMs;
    private final DoubleSupplier random;

    /**
     * Wait and timeout of one call to discovery.
     *
     * @param waitMs how long discovery may hold the call while there is no change; 0 for not at all
     * @param timeoutMs time from the start of the call until its complete answer must have arrived
     */
    public record Call(int waitMs, int timeoutMs) {}

    /**
     * Creates the timeouts for the calls of one node.
     *
     * @param pushed whether lists are pushed to an agent; otherwise discovery is polled
     * @param random numbers from 0 (inclusive) to 1 (exclusive), a separate series for each node
     */
    public WatchTimeouts(boolean pushed, ServiceRules rules, DoubleSupplier random) {
        this.pushed = pushed;
        long maxWaitForGraceMs = Math.min(MAX_AGENT_WAIT_MS, rules.drainGraceUs() / (4 * MICROS_PER_MS));
        long maxWaitForPollIntervalMs =
                rules.cappedPollDelayUs(2L * MICROS_PER_MS * MAX_AGENT_WAIT_MS) / (2 * MICROS_PER_MS);
        this.agentWaitMs = (int) Math.max(MIN_WAIT_MS, Math.min(maxWaitForGraceMs, maxWaitForPollIntervalMs));
        long maxCallUs = (long) MICROS_PER_MS * (MAX_POLL_WAIT_MS + ANSWER_MARGIN_MS);
        this.maxPollWaitMs =
                (int) Math.max(MIN_WAIT_MS, rules.cappedPollDelayUs(maxCallUs) / MICROS_PER_MS - ANSWER_MARGIN_MS);
        this.random = random;
    }

    /** Returns the timeouts of a call that waits for changes since a version. */
    public Call watch() {
        if (pushed) {
            return new Call(agentWaitMs, 2 * agentWaitMs);
        }
        int minPollWaitMs = maxPollWaitMs * MIN_POLL_WAIT_MS / MAX_POLL_WAIT_MS;
        int waitMs = minPollWaitMs + (int) (random.getAsDouble() * (maxPollWaitMs - minPollWaitMs + 1));
        return new Call(waitMs, waitMs + ANSWER_MARGIN_MS);
    }

    /** Returns the timeouts of a call for the full list. */
    public Call fullList() {
        return new Call(0, pushed ? agentWaitMs : FULL_LIST_TIMEOUT_MS);
    }

    /**
     * Returns the timeouts of the first call to an address, and of the call after a failed one: it requests the changes
     * since a version and is answered as soon as discovery handles it, even if there are none.
     */
    public Call afterFailure() {
        return new Call(SHORT_WAIT_MS, pushed ? agentWaitMs : CHANGES_TIMEOUT_MS);
    }

    /**
     * Returns the timeouts of the same call after a number of consecutive timeouts; each call has twice the timeout of
     * the one before. Otherwise no answer would ever arrive in time from a slow discovery or with a long list, and
     * calls that time out make discovery even slower. The timeout of a call to an agent stays the same, as an agent
     * answers at once or has nothing to report.
     */
    public Call withBackoff(Call call, int consecutiveTimeouts) {
        int timeoutMs = call.timeoutMs();
        for (int i = 0; i < consecutiveTimeouts && timeoutMs < MAX_BACKOFF_TIMEOUT_MS && !pushed; i++) {
            timeoutMs = Math.min(MAX_BACKOFF_TIMEOUT_MS, 2 * timeoutMs);
        }
        return new Call(call.waitMs(), timeoutMs);
    }

    /** Whether lists are pushed; the watch then continues after any failure, without the load balancer. */
    public boolean pushed() {
        return pushed;
    }

    /**
     * Returns the milliseconds to pause after a failed call to an agent; where discovery is polled, the load balancer
     * decides the pause.
     */
    public int agentRetryPauseMs() {
        return agentWaitMs / 2;
    }

    /** Returns how many milliseconds a starting node waits for its first answer before it accepts requests. */
    public int firstAnswerTimeoutMs() {
        return pushed ? FIRST_PUSHED_ANSWER_TIMEOUT_MS : FIRST_POLLED_ANSWER_TIMEOUT_MS;
    }
}
