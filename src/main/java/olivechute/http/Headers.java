package olivechute.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The header fields of a message in their order, as positions in the received bytes; a string is created only when a
 * value is requested. Names are compared without regard to case. Valid as long as the message is.
 */
public final class Headers {
    private static final int POSITIONS_PER_FIELD = 4; // start and end of the name, start and end of the value
    private static final int MAX_DIGITS = 18;
    private static final int INITIAL_FIELDS = 16;
    private static final int[] NO_POSITIONS = new int[0]; // until the first field: many connections carry no message

    private byte[] bytes;
    private int[] positions = NO_POSITIONS;
    private int count;

    void clear() {
        count = 0;
    }

    /**
     * Sets the buffer that the positions refer to, again when its content is copied to a larger one at the same
     * positions.
     */
    void setBuffer(byte[] buffer) {
        bytes = buffer;
    }

    int count() {
        return count;
    }

    void add(int nameStart, int nameEnd, int valueStart, int valueEnd) {
        if (count * POSITIONS_PER_FIELD == positions.length) {
            positions = Arrays.copyOf(positions, Math.max(INITIAL_FIELDS * POSITIONS_PER_FIELD, 2 * positions.length));
        }
        int index = count++ * POSITIONS_PER_FIELD;
        positions[index] = nameStart;
        positions[index + 1] = nameEnd;
        positions[index + 2] = valueStart;
        positions[index + 3] = valueEnd;
    }

    /** The index of the first field of that name at or after {@code firstIndex}, negative without one. */
    private int find(String name, int firstIndex) {
        int length = name.length();
        for (int i = firstIndex; i < count; i++) {
            int nameStart = positions[i * POSITIONS_PER_FIELD];
            if (positions[i * POSITIONS_PER_FIELD + 1] - nameStart == length
                    && equalsIgnoreCase(name, nameStart, length)) {
                return i;
            }
        }
        return -1;
    }

    private boolean equalsIgnoreCase(String text, int offset, int length) {
        for (int i = 0; i < length; i++) {
            if (toLowerCase(bytes[offset + i]) != toLowerCase((byte) text.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    private static int toLowerCase(byte b) {
        return b >= 'A' && b <= 'Z' ? b + ('a' - 'A') : b;
    }

    private String valueAt(int index) {
        int start = positions[index * POSITIONS_PER_FIELD + 2];
        return new String(
                bytes, start, positions[index * POSITIONS_PER_FIELD + 3] - start, StandardCharsets.ISO_8859_1);
    }

    /** The first value of that name, null without one. */
    public String get(String name) {
        int i = find(name, 0);
        return i < 0 ? null : valueAt(i);
    }

    /** True if there are several fields of that name. */
    public boolean hasSeveral(String name) {
        int i = find(name, 0);
        return i >= 0 && find(name, i + 1) >= 0;
    }

    /** True if the first value of that name equals this word, without regard to case. */
    boolean firstValueEquals(String name, String word) {
        int i = find(name, 0);
        int start = i < 0 ? 0 : positions[i * POSITIONS_PER_FIELD + 2];
        return i >= 0
                && positions[i * POSITIONS_PER_FIELD + 3] - start == word.length()
                && equalsIgnoreCase(word, start, word.length());
    }

    /** The non-negative integer that all fields of that name agree on, negative without such a field. */
    long parseNumber(String name) throws HttpException {
        long number = -1;
        for (int i = find(name, 0); i >= 0; i = find(name, i + 1)) {
            int start = positions[i * POSITIONS_PER_FIELD + 2];
            int end = positions[i * POSITIONS_PER_FIELD + 3];
            long value = 0;
            for (int digit = start; digit < end && value >= 0; digit++) {
                value = bytes[digit] >= '0' && bytes[digit] <= '9' ? 10 * value + bytes[digit] - '0' : -1;
            }
            if (start == end || end - start > MAX_DIGITS || value < 0 || (number >= 0 && number != value)) {
                throw new HttpException(400, "bad or conflicting lengths");
            }
            number = value;
        }
        return number;
    }

    /** True if there is a field of that name. */
    public boolean contains(String name) {
        return find(name, 0) >= 0;
    }

    /** True if a list-valued field of that name contains the token. */
    boolean containsToken(String name, String token) {
        for (int i = find(name, 0); i >= 0; i = find(name, i + 1)) {
            int end = positions[i * POSITIONS_PER_FIELD + 3];
            for (int start = positions[i * POSITIONS_PER_FIELD + 2]; start <= end; ) {
                int comma = start;
                while (comma < end && bytes[comma] != ',') {
                    comma++;
                }
                int tokenStart = start;
                int tokenEnd = comma;
                while (tokenStart < tokenEnd && isBlank(bytes[tokenStart])) {
                    tokenStart++;
                }
                while (tokenEnd > tokenStart && isBlank(bytes[tokenEnd - 1])) {
                    tokenEnd--;
                }
                if (tokenEnd - tokenStart == token.length()
                        && equalsIgnoreCase(token, tokenStart, tokenEnd - tokenStart)) {
                    return true;
                }
                start = comma + 1;
            }
        }
        return false;
    }

    static boolean isBlank(byte b) {
        return b == ' ' || b == '\t';
    }
}
