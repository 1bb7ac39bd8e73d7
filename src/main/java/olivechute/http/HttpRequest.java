package olivechute.http;

/** A whole request. */
public record HttpRequest(String method, String target, Headers headers, Body content, boolean keepAlive) {
    /** The target without its query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** The value of a query parameter as it was sent, null without one. */
    public String parameter(String name) {
        int at = target.indexOf('?') + 1;
        while (at > 0) {
            int end = target.indexOf('&', at);
            int to = end < 0 ? target.length() : end;
            if (to - at > name.length() && target.startsWith(name, at) && target.charAt(at + name.length()) == '=') {
                return target.substring(at + name.length() + 1, to);
            }
            at = end + 1;
        }
        return null;
    }

    /** A copy of the body. */
    public byte[] body() {
        return content.toArray();
    }
}
