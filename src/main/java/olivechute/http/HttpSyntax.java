package olivechute.http;

import java.nio.charset.StandardCharsets;

/** Elements of the syntax of HTTP/1.1 that stand within one line. */
final class HttpSyntax {
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
    private static final boolean[] IS_TOKEN_CHAR = new boolean[128];
    private static final int VERSION_LENGTH = 8;
    private static final int MAX_CHUNK_SIZE_DIGITS = 8;

    static {
        for (char c = 0; c < IS_TOKEN_CHAR.length; c++) {
            IS_TOKEN_CHAR[c] = (c >= '0' && c <= '9')
                    || (c >= 'a' && c <= 'z')
                    || (c >= 'A' && c <= 'Z')
                    || TOKEN_PUNCTUATION.indexOf(c) >= 0;
        }
    }

    private HttpSyntax() {}

    static boolean isTokenChar(byte b) {
        return b >= 0 && IS_TOKEN_CHAR[b];
    }

    static boolean isDigit(byte b) {
        return b >= '0' && b <= '9';
    }

    static String decodeLatin1(byte[] bytes, int from, int end) {
        return new String(bytes, from, end - from, StandardCharsets.ISO_8859_1);
    }

    /** Returns the minor version; the major one must be 1. */
    static int parseMinorVersion(byte[] bytes, int from, int end) throws HttpException {
        boolean wellFormed = end - from == VERSION_LENGTH
                && bytes[from] == 'H'
                && bytes[from + 1] == 'T'
                && bytes[from + 2] == 'T'
                && bytes[from + 3] == 'P'
                && bytes[from + 4] == '/'
                && isDigit(bytes[from + 5])
                && bytes[from + 6] == '.'
                && isDigit(bytes[from + 7]);
        if (!wellFormed) {
            throw new HttpException(400, "bad version");
        }
        if (bytes[from + 5] != '1') {
            throw new HttpException(505, "unknown version");
        }
        return bytes[from + 7] - '0';
    }

    /** Parses the size of a chunk, whose extensions are ignored. */
    static long parseChunkSize(byte[] bytes, int from, int lineEnd) throws HttpException {
        int end = from;
        while (end < lineEnd && bytes[end] != ';') {
            end++;
        }
        int start = from;
        while (start < end && Headers.isBlank(bytes[start])) {
            start++;
        }
        while (end > start && Headers.isBlank(bytes[end - 1])) {
            end--;
        }
        if (end == start || end - start > MAX_CHUNK_SIZE_DIGITS) {
            throw new HttpException(400, "bad chunk size");
        }
        long size = 0;
        for (int i = start; i < end; i++) {
            int digit = Character.digit(bytes[i], 16);
            if (bytes[i] < 0 || digit < 0) {
                throw new HttpException(400, "bad chunk size");
            }
            size = 16 * size + digit;
        }
        return size;
    }
}
