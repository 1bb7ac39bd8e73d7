package olivechute.svid;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.security.cert.CertificateEncodingException;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.JwkSets;
import olivechute.identity.PemReader;
import olivechute.identity.SpiffeId;
import olivechute.identity.SvidManager;
import olivechute.identity.SvidManager.Offer;
import olivechute.identity.TrustBundles;
import olivechute.identity.X509Check;
import olivechute.testca.CertificateAuthority;
import olivechute.testca.TokenIssuer;
import olivechute.testca.WorkloadApiResponses;
import org.junit.jupiter.api.Test;

/**
 * Certificates, key sets and messages with bytes changed, removed or duplicated: only the declared exception is thrown,
 * and no other identity is accepted.
 */
class SvidFuzzTest {
    private static final String ID = "spiffe://td/node";
    private static final Instant NOW = Instant.parse("2026-12-01T12:00:00Z");
    private static final CertificateAuthority ROOT =
            CertificateAuthority.root("td", NOW.minusSeconds(60), NOW.plusSeconds(60));
    private static final CertificateAuthority.Issued ISSUED = issued();
    private static final byte[] DER = der(ISSUED.chain());
    private static final byte[] KEYS = new TokenIssuer("k").keySet().getBytes(StandardCharsets.ISO_8859_1);
    private static final byte[] RESPONSE = WorkloadApiResponses.x509Response(
            ID, ISSUED, List.of(ROOT.certificate()), Map.of("other", List.of(ROOT.certificate())), "hint");

    private static CertificateAuthority.Issued issued() {
        try {
            return ROOT.intermediate(NOW.minusSeconds(60), NOW.plusSeconds(60))
                    .issue(SpiffeId.parse(ID), NOW.minusSeconds(60), NOW.plusSeconds(60));
        } catch (IdentityRejectedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static byte[] der(List<X509Certificate> chain) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try {
            for (X509Certificate each : chain) {
                all.writeBytes(each.getEncoded());
            }
        } catch (CertificateEncodingException e) {
            throw new IllegalStateException(e);
        }
        return all.toByteArray();
    }

    /** Changes a few bytes, and at times removes or duplicates a part. */
    private static byte[] corrupt(byte[] valid, Random random) {
        byte[] bytes = valid.clone();
        for (int n = random.nextInt(4); n >= 0; n--) {
            bytes[random.nextInt(bytes.length)] =
                    (byte) (random.nextBoolean() ? random.nextInt(256) : random.nextInt(3) - 1);
        }
        if (random.nextInt(4) > 0) {
            return bytes;
        }
        int from = random.nextInt(bytes.length);
        int to = from + random.nextInt(bytes.length - from);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(bytes, 0, random.nextBoolean() ? from : to);
        out.write(bytes, random.nextBoolean() ? from : to, bytes.length - to);
        return out.toByteArray();
    }

    @Test
    void acceptsValidInput() throws IdentityRejectedException {
        assertEquals(
                ID,
                X509Check.check(PemReader.derCertificates(DER), TrustBundles.EMPTY.with(ROOT.bundle()), NOW)
                        .id()
                        .toString());
        SvidManager manager = new SvidManager("td");
        Offer offer = WorkloadApiMessages.parseX509Response(RESPONSE, "hint");
        manager.offer(offer, NOW);
        assertEquals(ID, manager.state().own().svid().id().toString());
        assertEquals(2, manager.state().bundles().all().size());
        assertEquals(
                1,
                JwkSets.parseKeys(new String(KEYS, StandardCharsets.ISO_8859_1)).size());
    }

    @Property(tries = 1500, seed = "20261201")
    void corruptCertificateIsRejectedOrKeepsItsIdentity(@ForAll @LongRange(max = 1L << 40) long seed) {
        byte[] bytes = corrupt(DER, new Random(seed));
        try {
            SpiffeId id = X509Check.check(PemReader.derCertificates(bytes), TrustBundles.EMPTY.with(ROOT.bundle()), NOW)
                    .id();
            assertEquals(ID, id.toString(), "seed " + seed);
        } catch (IdentityRejectedException declared) {
            assertNotNull(declared.reason());
        }
    }

    @Property(tries = 1500, seed = "20261201")
    void corruptMessageIsRejectedOrAppliedWhole(@ForAll @LongRange(max = 1L << 40) long seed) {
        byte[] bytes = corrupt(RESPONSE, new Random(seed));
        try {
            SvidManager manager = new SvidManager("td");
            manager.offer(WorkloadApiMessages.parseX509Response(bytes, ""), NOW);
            assertEquals(ID, manager.state().own().svid().id().toString(), "seed " + seed);
        } catch (IdentityRejectedException declared) {
            assertNotNull(declared.reason());
        }
    }

    @Property(tries = 1500, seed = "20261201")
    void corruptKeySetIsRejectedOrParsed(@ForAll @LongRange(max = 1L << 40) long seed) {
        byte[] bytes = corrupt(KEYS, new Random(seed));
        try {
            assertNotNull(JwkSets.parseKeys(new String(bytes, StandardCharsets.ISO_8859_1)));
            WorkloadApiMessages.parseJwtBundlesResponse(bytes);
        } catch (IdentityRejectedException declared) {
            assertNotNull(declared.reason());
        }
    }
}
