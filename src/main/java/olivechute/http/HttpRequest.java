package olivechute.http;

/** A complete request. */
public record HttpRequest(String method, String target, Headers headers, Body content, boolean keepAlive) {
    /** The target without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** The value of a query parameter as it was sent, without decoding; null without one. */
    public String queryParameter(String name) {
        int start = target.indexOf('?') + 1;
        while (start > 0) {
            int separator = target.indexOf('&', start);
            int end = separator < 0 ? target.length() : separator;
            if (end - start > name.length()
                    && target.startsWith(name, start)
                    && target.charAt(start + name.length()) == '=') {
                return target.substring(start + name.length() + 1, end);
            }
            start = separator + 1;
        }
        return null;
    }

    /** A copy of the body. */
    public byte[] body() {
        return content.toArray();
    }
}
