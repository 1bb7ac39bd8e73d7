package olivechute.routing;

import java.util.function.DoubleSupplier;

/**
 * How long a call to discovery asks it to wait for news, and how long its whole answer is waited for, in milliseconds. A call that is
 * not answered by then is broken, and so is its connection: what it would have told is asked for again at once, on a new one.
 *
 * <p>The protocol sets the bounds. What a silent call misses counts as told {@value #TOLD} ms after it fell silent, or
 * {@value #TOLD_AFTER_WAIT} ms after its wait where that is later. So a wait of up to {@value #LONGEST} ms takes nothing from those
 * {@value #TOLD} ms, and a longer one leaves less and less of them: that is the longest. Half of it is the shortest: the calls of a fleet are then
 * twice as many at most, and drawn by chance between the two they do not end in step, as nodes that start together or hear of the
 * same change would have them.
 */
public final class WatchClock {
    static final int TOLD = 6000;
    static final int TOLD_AFTER_WAIT = 2000;
    static final int LONGEST = TOLD - TOLD_AFTER_WAIT;
    static final int SHORTEST = LONGEST / 2;
    /** For an answer to come once the wait is over: a quarter of what is left then before the missed counts as told. */
    static final int GRACE = TOLD_AFTER_WAIT / 4;
    /** For an answer that waits for nothing: two such calls fit before what the first one missed counts as told. */
    static final int AT_ONCE = TOLD / 2;
    private static final int LEAST_WAIT = 1;

    private final DoubleSupplier chance;

    /** One call: for how long discovery may hold it, 0 for none, and the time from its start until its whole answer has to be there. */
    public record Call(int hold, int limit) { }

    /** {@code chance}: numbers from 0 (with) to 1 (without), a series of its own for each node. */
    public WatchClock(DoubleSupplier chance) {
        this.chance = chance;
    }

    /** A call that waits for what is newer than a version. */
    public Call watch() {
        int wait = SHORTEST + (int) (chance.getAsDouble() * (LONGEST - SHORTEST + 1));
        return new Call(wait, wait + GRACE);
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
