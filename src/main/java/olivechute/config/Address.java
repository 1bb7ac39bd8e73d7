package olivechute.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses {@code HOST:PORT}. The host must be a literal IP address, as nothing here may block on name resolution. */
public final class Address {
    private Address() {}

    /** Returns the parsed address; an {@link InvalidValueException} names {@code key} if the text is none. */
    public static InetSocketAddress parse(String key, String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        try {
            if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
                throw new UnknownHostException(host);
            }
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new InvalidValueException(key + ": must be ADDRESS:PORT with a literal address, not '" + text + "'");
        }
    }
}
