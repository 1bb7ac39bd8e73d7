package olivechute.rig;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The last output lines of a process, numbered from 0 across restarts, and a blocking wait for a line. Thread-safe. */
final class OutputLines {
    private static final int MAX_LINES = 4096;
    private static final int LINES_IN_ERRORS = 30;

    private final String processName;
    private final ArrayDeque<String> retained = new ArrayDeque<>();
    private long count;
    private int startNumber;
    private boolean ended;

    OutputLines(String processName) {
        this.processName = processName;
    }

    synchronized void add(String line) {
        if (retained.size() == MAX_LINES) {
            retained.removeFirst();
        }
        retained.addLast(line);
        count++;
        notifyAll();
    }

    /** Marks the start of the process; returns the number of the start for {@link #onEnd}. */
    synchronized int onStart() {
        ended = false;
        return ++startNumber;
    }

    /** Marks the end of the output of a start, unless the process was started again since. */
    synchronized void onEnd(int endedStart) {
        ended |= endedStart == startNumber;
        notifyAll();
    }

    synchronized long count() {
        return count;
    }

    synchronized List<String> all() {
        return List.copyOf(retained);
    }

    /** Returns the retained lines from number {@code from} on. */
    synchronized List<String> after(long from) {
        return all().subList(
                        (int) Math.max(0, Math.min(retained.size(), from - (count - retained.size()))),
                        retained.size());
    }

    /** Waits for the first line from number {@code from} on that contains the pattern and returns the match. */
    synchronized Matcher await(Pattern pattern, long from, Duration within) {
        long end = System.nanoTime() + within.toNanos();
        long next = from;
        for (; ; ) {
            long first = count - retained.size();
            long number = first;
            for (String line : retained) {
                if (number++ >= Math.max(next, first)) {
                    Matcher m = pattern.matcher(line);
                    if (m.find()) {
                        return m;
                    }
                }
            }
            next = count;
            long left = (end - System.nanoTime()) / 1_000_000;
            if (ended || left <= 0) {
                throw new TestSetupException(processName
                        + (ended ? " ended" : " ran for " + within.toMillis() + " ms") + " without a line matching /"
                        + pattern + "/; its last lines:\n" + String.join("\n", tail()));
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new TestSetupException(processName + ": interrupted", e);
            }
        }
    }

    private List<String> tail() {
        List<String> lines = new ArrayList<>(retained);
        return lines.subList(Math.max(0, lines.size() - LINES_IN_ERRORS), lines.size());
    }
}
