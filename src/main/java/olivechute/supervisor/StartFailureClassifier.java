package olivechute.supervisor;

import java.util.regex.Pattern;

/** Tells nodes that reject their program or settings from nodes that crash. */
final class StartFailureClassifier {
    /** A line KEY: ERROR, with which a node reports a setting that it cannot use. */
    private static final Pattern SETTINGS_ERROR = Pattern.compile("[A-Za-z_][A-Za-z0-9_.\\[\\]-]*: .*");
    /** Another process may hold the address for a moment, so another start is worthwhile. */
    private static final String ADDRESS_IN_USE_PREFIX = "LB_LISTEN: cannot listen";

    private StartFailureClassifier() {}

    /**
     * Whether a process that exited with this status and last line before it was ever ready would fail the same way if
     * started again.
     */
    static boolean isPermanent(Integer exitStatus, String lastLine) {
        return exitStatus != null
                && exitStatus == 1
                && SETTINGS_ERROR.matcher(lastLine).matches()
                && !lastLine.startsWith(ADDRESS_IN_USE_PREFIX);
    }
}
