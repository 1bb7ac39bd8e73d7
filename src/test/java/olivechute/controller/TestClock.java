package olivechute.controller;

import java.util.function.LongSupplier;

/** Virtual time in ms. */
final class TestClock implements LongSupplier {
    private long nowMs = 1_000_000;

    @Override
    public long getAsLong() {
        return nowMs;
    }

    void advance(long ms) {
        nowMs += ms;
    }
}
