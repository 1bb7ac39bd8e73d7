package olivechute.authorization;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.SpiffeId;
import org.junit.jupiter.api.Test;

/** Rules on which identity may be a client of which tenants, and which must be the endpoint of a given name. */
class AuthorizationTest {
    private static SpiffeId id(String text) throws IdentityRejectedException {
        return SpiffeId.parse(text);
    }

    private static boolean matches(String pattern, String id) throws IdentityRejectedException {
        return SpiffeIdPattern.parse("k", pattern).matches(id(id));
    }

    @Test
    void wildcardsMatchWholeSegments() throws IdentityRejectedException {
        String[][] matching = {
            {"spiffe://td/a", "spiffe://td/a"},
            {"spiffe://td", "spiffe://td/a/b"},
            {"spiffe://td/*", "spiffe://td/a"},
            {"spiffe://td/*/b", "spiffe://td/x/b"},
            {"spiffe://td/a/**", "spiffe://td/a/b"},
            {"spiffe://td/a/**", "spiffe://td/a/b/c"},
            {"spiffe://td/**", "spiffe://td/a"}
        };
        String[][] notMatching = {
            {"spiffe://td/a", "spiffe://td/ab"},
            {"spiffe://td/a", "spiffe://td/a/b"},
            {"spiffe://td", "spiffe://td2/a"},
            {"spiffe://td", "spiffe://td"},
            {"spiffe://td/*", "spiffe://td/a/b"},
            {"spiffe://td/a/*", "spiffe://td/a"},
            {"spiffe://td/a/**", "spiffe://td/a"},
            {"spiffe://td/a/**", "spiffe://td/ab/c"},
            {"spiffe://td/A", "spiffe://td/a"}
        };
        for (String[] pair : matching) {
            assertTrue(matches(pair[0], pair[1]), pair[0] + " matches " + pair[1]);
        }
        for (String[] pair : notMatching) {
            assertFalse(matches(pair[0], pair[1]), pair[0] + " does not match " + pair[1]);
        }
    }

    @Test
    void invalidPatternNamesItsKey() {
        for (String text : new String[] {
            "",
            "td/a",
            "spiffe://*/a",
            "spiffe://t*/a",
            "spiffe://td/a*",
            "spiffe://td/**/a",
            "spiffe://td/***",
            "spiffe://td/a/",
            "spiffe://TD/a",
            "spiffe://td/../a"
        }) {
            String message = assertThrows(
                            IllegalArgumentException.class, () -> SpiffeIdPattern.parse("clients.id", text))
                    .getMessage();
            assertTrue(message.startsWith("clients.id: "), message);
        }
    }

    /** Compares patterns with equivalent regular expressions over short paths of few letters. */
    @Property(tries = 3000, seed = "20261201")
    void patternsAgreeWithEquivalentRegularExpressions(@ForAll @LongRange(max = 1L << 40) long seed)
            throws IdentityRejectedException {
        Random random = new Random(seed);
        StringBuilder pattern = new StringBuilder("spiffe://td");
        StringBuilder regex = new StringBuilder("spiffe://td");
        int segments = random.nextInt(4);
        for (int i = 0; i < segments; i++) {
            int kind = random.nextInt(4);
            boolean rest = kind == 3 && i == segments - 1;
            pattern.append('/').append(rest ? "**" : kind == 2 ? "*" : kind == 1 ? "b" : "a");
            regex.append('/').append(rest ? ".+" : kind == 2 ? "[^/]+" : kind == 1 ? "b" : "a");
        }
        regex.append(segments == 0 ? "/.+" : "");
        StringBuilder id = new StringBuilder("spiffe://td");
        for (int i = random.nextInt(5); i > 0; i--) {
            id.append('/').append("ab".charAt(random.nextInt(2)));
        }
        assertEquals(
                Pattern.matches(regex.toString(), id), matches(pattern.toString(), id.toString()), pattern + " " + id);
    }

    @Test
    void clientIsAllowedOnlyTheTenantsOfItsRules() throws IdentityRejectedException {
        ClientAuthorization rules = new ClientAuthorization(List.of(
                new ClientAuthorization.Rule(
                        SpiffeIdPattern.parse("k", "spiffe://td/member/steppe/*"), Set.of("steppe-aid")),
                new ClientAuthorization.Rule(
                        SpiffeIdPattern.parse("k", "spiffe://td/member/steppe/lead"), Set.of("aral-water")),
                new ClientAuthorization.Rule(SpiffeIdPattern.parse("k", "spiffe://ops"), Set.of())));
        SpiffeId lead = id("spiffe://td/member/steppe/lead");
        SpiffeId desk = id("spiffe://td/member/steppe/desk");
        SpiffeId ops = id("spiffe://ops/anyone");
        assertTrue(rules.allows(desk, "steppe-aid")
                && rules.allows(lead, "steppe-aid")
                && rules.allows(lead, "aral-water"));
        assertFalse(rules.allows(desk, "aral-water") || rules.allows(desk, null) || rules.allows(desk, "STEPPE-AID"));
        assertTrue(rules.allows(ops, "ile-rescue") && rules.allows(ops, null));
        assertTrue(rules.isClient(desk));
        assertFalse(rules.isClient(id("spiffe://td/member"))
                || rules.isClient(id("spiffe://elsewhere/member/steppe/desk")));
        assertFalse(new ClientAuthorization(List.of()).isClient(ops));
    }

    @Test
    void endpointMustHaveTheIdentityOfItsName() throws IdentityRejectedException {
        EndpointIdentityRules rules = new EndpointIdentityRules(List.of(
                EndpointIdentityRules.Rule.parse("k", "s-old", "spiffe://former/signer"),
                EndpointIdentityRules.Rule.parse("k", "s-*", "spiffe://td/sign-worker/{host}")));
        assertTrue(rules.matches(id("spiffe://td/sign-worker/s-1"), "s-1")
                && rules.matches(id("spiffe://former/signer"), "s-old"));
        assertFalse(rules.matches(id("spiffe://td/sign-worker/s-2"), "s-1"));
        assertFalse(rules.matches(id("spiffe://td/sign-worker/s-old"), "s-old"));
        assertNull(rules.requiredId("w-1"));
        for (String name : new String[] {"s-1/../s-2", "s-1/x", "s-\u00e9", "s-1 "}) {
            assertNull(rules.requiredId(name), name);
        }
    }

    @Test
    void invalidEndpointRuleNamesItsKey() {
        String[][] bad = {
            {"", "spiffe://td/a", "hosts.host"},
            {"s*1", "spiffe://td/a", "hosts.host"},
            {"s", "spiffe://td", "hosts.id"},
            {"s", "spiffe://{host}/a", "hosts.id"},
            {"s", "spiffe://td/{name}", "hosts.id"},
            {"s", "a", "hosts.id"}
        };
        for (String[] rule : bad) {
            String message = assertThrows(
                            IllegalArgumentException.class,
                            () -> EndpointIdentityRules.Rule.parse("hosts", rule[0], rule[1]))
                    .getMessage();
            assertTrue(message.startsWith(rule[2] + ": "), message);
        }
    }
}
