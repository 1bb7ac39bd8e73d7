package olivechute.identity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.Random;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.StringLength;
import olivechute.identity.IdentityRejectedException.Reason;
import org.junit.jupiter.api.Test;

/** SPIFFE IDs against the SPIFFE-ID standard: by a table, by an equivalent regular expression, and with random text. */
class SpiffeIdTest {
    private static final Pattern STANDARD =
            Pattern.compile("spiffe://[a-z0-9._-]{1,255}(/(?!\\.{1,2}(/|$))[a-zA-Z0-9._-]+)*");
    private static final String ALPHABET = "aZ09._-/:@%?#é \\~";

    @Test
    void validIdsAreParsedAndFormattedUnchanged() throws IdentityRejectedException {
        for (String text : new String[] {
            "spiffe://a",
            "spiffe://a.b-c_d/x",
            "spiffe://td/A/b.c/...",
            "spiffe://td/.../..a",
            "spiffe://" + "d".repeat(255) + "/p"
        }) {
            assertEquals(text, SpiffeId.parse(text).toString());
        }
        assertEquals(
                2048,
                SpiffeId.parse("spiffe://td/" + "p".repeat(2036)).toString().length());
        assertTrue(!SpiffeId.parse("spiffe://td").isWorkload()
                && SpiffeId.parse("spiffe://td/w").isWorkload());
    }

    @Test
    void invalidIdsAreRejected() {
        for (String text : new String[] {
            null,
            "",
            "spiffe:",
            "spiffe://",
            "spiffe:///p",
            "SPIFFE://td/p",
            "spiffe://TD/p",
            "https://td/p",
            "spiffe://td/",
            "spiffe://td//p",
            "spiffe://td/p/",
            "spiffe://td/.",
            "spiffe://td/../p",
            "spiffe://td/a/..",
            "spiffe://td:1/p",
            "spiffe://u@td/p",
            "spiffe://td/p?q",
            "spiffe://td/p#f",
            "spiffe://td/%41",
            "spiffe://td/p q",
            "spiffe://t\u00e9/p",
            "spiffe://td/\u00e9",
            "spiffe://" + "d".repeat(256),
            "spiffe://td/" + "p".repeat(2037)
        }) {
            assertEquals(
                    Reason.BAD_ID,
                    assertThrows(IdentityRejectedException.class, () -> SpiffeId.parse(text))
                            .reason(),
                    text);
        }
    }

    /** Random texts that are nearly valid are parsed if and only if they match the regular expression. */
    @Property(tries = 3000, seed = "20261201")
    void parsesExactlyTheIdsThatTheStandardAllows(@ForAll @LongRange(max = 1L << 40) long seed) {
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder(random.nextInt(20) == 0 ? "spiff://" : "spiffe://");
        for (int i = random.nextInt(14); i > 0; i--) {
            int border = random.nextInt(4) == 0 ? ALPHABET.length() : 8;
            text.append(ALPHABET.charAt(random.nextInt(border)));
        }
        boolean allowed = STANDARD.matcher(text).matches();
        boolean read;
        try {
            read = SpiffeId.parse(text.toString()).toString().contentEquals(text);
        } catch (IdentityRejectedException e) {
            read = false;
        }
        assertEquals(allowed, read, text.toString());
    }

    /** No token text makes the validation throw any other exception. */
    @Property(tries = 2000, seed = "20261201")
    void randomTokensThrowOnlyIdentityRejectedException(@ForAll @StringLength(max = 300) String randomText) {
        for (String token : new String[] {
            randomText,
            randomText + "." + randomText + "." + randomText,
            "e30." + randomText + ".e30",
            "eyJhbGciOiJFUzI1NiJ9." + randomText + ".AAAA"
        }) {
            assertThrows(
                    IdentityRejectedException.class,
                    () -> JwtCheck.check(token, "node", TrustBundles.EMPTY, Instant.EPOCH));
        }
    }
}
