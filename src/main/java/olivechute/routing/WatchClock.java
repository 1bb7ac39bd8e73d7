package olivechute.routing;

import java.util.function.DoubleSupplier;

/**
 * How long a call to discovery asks it to wait for news, and how long its whole answer is waited for, in milliseconds. A call that is
 * not answered by then is broken, and so is its connection: what it would have told is asked for again at once, on a new one.
 *
 * <p>What a silent call misses counts as told {@value #TOLD} ms after it fell silent, or {@value #TOLD_AFTER_WAIT} ms after its wait where
 * that is later (the protocol's figures). So only the {@value #TOLD_AFTER_WAIT} ms count, whatever the wait is: an answer gets a quarter
 * of them to come, and the second call has the rest, and the drain's grace. The wait itself is drawn by chance, as widely as it can be:
 * nodes that start together, or hear of the same change, would else find out one silence at the same moment, and discovery, which handles
 * calls in turn, would refuse most of their second calls. It is drawn from {@value #SHORTEST} ms, below which a wait costs calls and puts
 * the telling off by nothing, to what the settings give a node between two calls ({@code rules.ask_every}).
 */
public class WatchClock {
    static final int TOLD = 6000;
    static final int TOLD_AFTER_WAIT = 2000;
    static final int SHORTEST = TOLD - TOLD_AFTER_WAIT;
    static final int GRACE = TOLD_AFTER_WAIT / 4;
    /** The protocol's longest wait. */
    private static final int MOST = 60_000;
    /** For an answer that waits for nothing, so that a second call has as much time as after a watch; a busy discovery refuses sooner. */
    static final int AT_ONCE = SHORTEST + GRACE;
    private static final int LEAST_WAIT = 1;

    private final int longest;
    private final DoubleSupplier chance;

    /** One call: for how long discovery may hold it, 0 for none, and the time from its start until its whole answer has to be there. */
    public record Call(int hold, int limit) { }

    /**
     * {@code askEvery}: the settings' figure, in microseconds. {@code chance}: numbers from 0 (with) to 1 (without), a series of its
     * own for each node.
     */
    public WatchClock(long askEvery, DoubleSupplier chance) {
        this.longest = (int) Math.max(SHORTEST, Math.min(MOST, askEvery / 1000));
        this.chance = chance;
    }

    /** A call that waits for what is newer than a version. */
    public Call watch() {
        int hold = SHORTEST + (int) (chance.getAsDouble() * (longest - SHORTEST + 1));
        return new Call(hold, hold + GRACE);
    }

    /** A call for the whole list. */
    public Call whole() {
        return new Call(0, AT_ONCE);
    }

    /** The call after one that stayed silent: for what is newer than a version, answered soon also if that is nothing. */
    public Call again() {
        return new Call(LEAST_WAIT, AT_ONCE);
    }
}
