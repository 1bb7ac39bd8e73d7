package olivechute.supervisor;

import java.util.regex.Pattern;

/** Tells a node that refuses its program or settings from one that broke. */
final class StartFailureClassifier {
    private static final Pattern SETTINGS_ERROR = Pattern.compile("[A-Za-z_][A-Za-z0-9_.\\[\\]-]*: .*");
    /** A neighbour may hold the address for a moment: worth another start. */
    private static final String ADDRESS_IN_USE_PREFIX = "LB_LISTEN: cannot listen";

    private StartFailureClassifier() {}

    /**
     * Whether an end with this status and last line, before it was ever ready, says that another start would end the
     * same way.
     */
    static boolean isPermanent(Integer exitStatus, String lastLine) {
        return exitStatus != null
                && exitStatus == 1
                && SETTINGS_ERROR.matcher(lastLine).matches()
                && !lastLine.startsWith(ADDRESS_IN_USE_PREFIX);
    }
}
