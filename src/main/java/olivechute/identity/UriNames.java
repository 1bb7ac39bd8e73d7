package olivechute.identity;

import java.nio.charset.StandardCharsets;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.List;
import olivechute.identity.IdentityRejectedException.Reason;

/**
 * Reads the URIs of a certificate's subject alternative names (RFC 5280, 4.2.1.6) from the extension itself. The JDK
 * leaves the extension out if it does not accept one of its names, and which names it accepts differs between updates.
 */
final class UriNames {
    private static final String SUBJECT_ALTERNATIVE_NAMES_OID = "2.5.29.17";
    private static final int OCTET_STRING = 0x04;
    private static final int SEQUENCE = 0x30;
    private static final int TAG_CLASS = 0xc0;
    private static final int CONTEXT_CLASS = 0x80;
    private static final int TAG_NUMBER = 0x1f;
    private static final int LAST_NAME_TAG = 8; // of the choices of a GeneralName
    private static final int URI = CONTEXT_CLASS | 6; // an IA5String: primitive, in ASCII

    private final byte[] der;
    private int position;

    private UriNames(byte[] der) {
        this.der = der;
    }

    /** Returns the URIs in their order; none if there is no such extension. */
    static List<String> of(X509Certificate certificate) throws IdentityRejectedException {
        byte[] wrapped = certificate.getExtensionValue(SUBJECT_ALTERNATIVE_NAMES_OID);
        return wrapped == null ? List.of() : parse(wrapped);
    }

    /** Parses the value of the extension within its octet string. */
    static List<String> parse(byte[] wrapped) throws IdentityRejectedException {
        UriNames names = new UriNames(wrapped);
        names.enter(OCTET_STRING);
        names.enter(SEQUENCE);
        List<String> uris = new ArrayList<>();
        while (names.position < wrapped.length) {
            int tag = names.nextByte();
            int length = names.nextLength();
            if ((tag & TAG_CLASS) != CONTEXT_CLASS || (tag & TAG_NUMBER) > LAST_NAME_TAG) {
                throw unreadable("a name of an unknown kind");
            }
            if ((tag & TAG_NUMBER) == (URI & TAG_NUMBER)) {
                uris.add(names.uri(tag, length));
            }
            names.position += length;
        }
        return uris;
    }

    /** Goes into an element that takes up all of the remaining bytes. */
    private void enter(int expectedTag) throws IdentityRejectedException {
        if (nextByte() != expectedTag || nextLength() != der.length - position) {
            throw unreadable("not a sequence of names");
        }
    }

    private String uri(int tag, int length) throws IdentityRejectedException {
        if (tag != URI) {
            throw unreadable("a URI that is not a plain string");
        }
        for (int i = position; i < position + length; i++) {
            if (der[i] < 0) {
                throw unreadable("a URI that is not in ASCII");
            }
        }
        return new String(der, position, length, StandardCharsets.US_ASCII);
    }

    private int nextByte() throws IdentityRejectedException {
        if (position == der.length) {
            throw unreadable("cut off");
        }
        return der[position++] & 0xff;
    }

    /** Reads a length in its shortest form, the only one in DER; the element must end within the remaining bytes. */
    private int nextLength() throws IdentityRejectedException {
        int length = nextByte();
        if (length >= 0x80) {
            int bytes = length & 0x7f;
            if (bytes < 1 || bytes > 3) {
                throw unreadable("a length in " + bytes + " bytes");
            }
            length = 0;
            for (int i = 0; i < bytes; i++) {
                length = length << 8 | nextByte();
            }
            if (length < 0x80 || length >> (8 * (bytes - 1)) == 0) {
                throw unreadable("a length that is not in its shortest form");
            }
        }
        if (length > der.length - position) {
            throw unreadable("cut off");
        }
        return length;
    }

    private static IdentityRejectedException unreadable(String text) {
        return new IdentityRejectedException(Reason.UNREADABLE, "subject alternative names: " + text);
    }
}
