package olivechute.http;

/** A complete response. */
public record HttpResponse(int status, Headers headers, Body content, boolean keepAlive) {
    /** A copy of the body. */
    public byte[] body() {
        return content.toArray();
    }
}
