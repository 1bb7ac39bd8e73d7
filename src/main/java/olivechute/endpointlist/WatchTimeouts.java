package olivechute.endpointlist;

import java.util.function.DoubleSupplier;
import olivechute.loadbalancing.ServiceRules;

/**
 * How long a call to discovery asks it to wait for changes, and how long its complete answer is waited for, in
 * milliseconds. A call that is not answered by then is broken, and so is its connection: what it would have notified is
 * polled again at once, on a new one.
 *
 * <p>Where discovery is <em>polled</em>, a change counts as notified {@value #NOTIFIED_AFTER_MS} ms after discovery had
 * it and could be reached, whatever became of the calls in between. So a watch may be silent from its first moment on
 * and the call after it rejected, and still a third one has to be answered by then: the wait is at most
 * {@value #LONGEST_WAIT_MS} ms. It is drawn at random from {@value #SHORTEST_WAIT_MS} ms on: nodes that start together,
 * or receive the same change, would otherwise notice one silence at the same moment, and discovery, which handles calls
 * in turn, would reject most of their second calls. Settings with a shorter {@code rules.ask_every} than such a call
 * lasts shorten it, drawn from two thirds of the wait that they leave.
 *
 * <p>Where lists are <em>pushed</em>, an agent on the node's own machine has them, answers at once and at no cost, and
 * what it has counts as notified. So all that a silent watch may cost is the drain's grace: wait and timeout together
 * stay well within it, and an agent that says nothing, as while discovery is down, is polled again and again. It too is
 * polled at least as often as {@code rules.ask_every} says.
 */
public class WatchTimeouts {
    /** The protocol's bound: no change counts as notified later than this. */
    static final int NOTIFIED_AFTER_MS = 6000;

    static final int MIN_POLL_WAIT_MS = 2000;
    static final int MAX_POLL_WAIT_MS = 3000;
    /** For an answer to come after the wait is over. */
    static final int ANSWER_MARGIN_MS = 400;
    /**
     * For an answer with the full list: a busy discovery rejects sooner, and one that has not rejected may still
     * answer. A call given up loses its place, and the next one stands behind all others.
     */
    static final int FULL_LIST_TIMEOUT_MS = 2900;

    private static final int MICROS_PER_MS = 1000;
    /**
     * For an answer to what is newer than a version: a crowded discovery has calls wait for 3 s before their turn, and
     * whoever gives up before that has wasted the turn.
     */
    private static final int CHANGES_TIMEOUT_MS = MAX_POLL_WAIT_MS + ANSWER_MARGIN_MS;
    /** The longest that such an answer is waited for after others were given up. */
    private static final int MAX_BACKOFF_TIMEOUT_MS = 12_000;

    private static final int SHORT_WAIT_MS = 1;
    /** The longest time without a call to an agent, however long the drain's grace. */
    private static final int MAX_AGENT_WAIT_MS = 1000;

    private static final int MIN_WAIT_MS = 50;
    /** An agent that has a list answers far sooner; one that says nothing has notified of nothing either. */
    private static final int FIRST_PUSHED_ANSWER_TIMEOUT_MS = 250;
    /** A crowded discovery may reject a new process some times; the node must be ready all the same. */
    private static final int FIRST_POLLED_ANSWER_TIMEOUT_MS = 4000;

    private final boolean pushed;
    private final int agentWaitMs;
    private final int maxPollWaitMs;
    private final DoubleSupplier random;

    /**
     * One call.
     *
     * @param waitMs for how long discovery may hold it, 0 for not at all
     * @param timeoutMs the time from its start until its complete answer has to be there
     */
    public record Call(int waitMs, int timeoutMs) {}

    /**
     * Makes the timeouts of one node.
     *
     * @param pushed whether lists are pushed to an agent; otherwise discovery is polled
     * @param random numbers from 0 (inclusive) to 1 (exclusive), a series of its own for each node
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

    /** A call that waits for what is newer than a version. */
    public Call watch() {
        if (pushed) {
            return new Call(agentWaitMs, 2 * agentWaitMs);
        }
        int minPollWaitMs = maxPollWaitMs * MIN_POLL_WAIT_MS / MAX_POLL_WAIT_MS;
        int waitMs = minPollWaitMs + (int) (random.getAsDouble() * (maxPollWaitMs - minPollWaitMs + 1));
        return new Call(waitMs, waitMs + ANSWER_MARGIN_MS);
    }

    /** A call for the full list. */
    public Call fullList() {
        return new Call(0, pushed ? agentWaitMs : FULL_LIST_TIMEOUT_MS);
    }

    /**
     * The first call at an address, and the one after a call that failed: for what is newer than a version, answered in
     * its turn also if that is nothing.
     */
    public Call afterFailure() {
        return new Call(SHORT_WAIT_MS, pushed ? agentWaitMs : CHANGES_TIMEOUT_MS);
    }

    /**
     * The same call after so many in a row that timed out: each is waited for twice as long as the one before. A
     * discovery that is slow, or a list that is long, would otherwise never get an answer through, and the more calls
     * are given up the slower it is. An agent answers at once or has nothing to say.
     */
    public Call withBackoff(Call call, int consecutiveTimeouts) {
        int timeoutMs = call.timeoutMs();
        for (int i = 0; i < consecutiveTimeouts && timeoutMs < MAX_BACKOFF_TIMEOUT_MS && !pushed; i++) {
            timeoutMs = Math.min(MAX_BACKOFF_TIMEOUT_MS, 2 * timeoutMs);
        }
        return new Call(call.waitMs(), timeoutMs);
    }

    /** Whether lists are pushed: the watch then goes on by itself, whatever fails. */
    public boolean pushed() {
        return pushed;
    }

    /** How long to pause after a failed call to an agent; where discovery is polled the load balancer says it. */
    public int agentRetryPauseMs() {
        return agentWaitMs / 2;
    }

    /** How long a node that starts waits for its first answer before it takes requests. */
    public int firstAnswerTimeoutMs() {
        return pushed ? FIRST_PUSHED_ANSWER_TIMEOUT_MS : FIRST_POLLED_ANSWER_TIMEOUT_MS;
    }
}
