package olivechute.svid;

import com.google.protobuf.CodedInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.IdentityRejectedException.Reason;
import olivechute.identity.JwkSets;
import olivechute.identity.PemReader;
import olivechute.identity.SpiffeId;
import olivechute.identity.SvidManager.Offer;
import olivechute.identity.TrustBundle;

/** Reads the messages of the SPIFFE Workload API that a node takes, by the numbers of its public definition. */
public final class WorkloadApiMessages {
    /** The call for our documents. */
    public static final String FETCH_X509 = "/SpiffeWorkloadAPI/FetchX509SVID";
    /** The call for the keys that sign tokens. */
    public static final String FETCH_JWT_BUNDLES = "/SpiffeWorkloadAPI/FetchJWTBundles";
    /** What each call must carry, so that no browser can be made to ask. */
    public static final Map<String, String> METADATA = Map.of("workload.spiffe.io", "true");

    private static final int SVIDS = 1; // of X509SVIDResponse
    private static final int FEDERATED = 3;
    private static final int ID = 1; // of X509SVID
    private static final int CHAIN = 2;
    private static final int KEY = 3;
    private static final int BUNDLE = 4;
    private static final int HINT = 5;
    private static final int BUNDLES = 1; // of JWTBundlesResponse
    private static final String SCHEME = "spiffe://";

    private WorkloadApiMessages() {}

    /** A part with a number, in its bytes. */
    private record Field(int number, byte[] bytes) {}

    /** The parts of a message that have a length; others are passed over. */
    private static List<Field> parseFields(byte[] message) throws IdentityRejectedException {
        List<Field> fields = new ArrayList<>();
        try {
            CodedInputStream in = CodedInputStream.newInstance(message);
            for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
                if ((tag & 7) == 2) {
                    fields.add(new Field(tag >>> 3, in.readByteArray()));
                } else {
                    in.skipField(tag);
                }
            }
        } catch (IOException e) {
            throw new IdentityRejectedException(Reason.UNREADABLE, "no message of the workload API: " + e.getMessage());
        }
        return fields;
    }

    private static byte[] lastValue(List<Field> fields, int number) {
        byte[] found = new byte[0];
        for (Field field : fields) {
            found = field.number == number ? field.bytes : found;
        }
        return found;
    }

    /** Our document of this hint, or the first where the hint is empty, and the bundles that go with it. */
    public static Offer parseX509Response(byte[] message, String hint) throws IdentityRejectedException {
        List<Field> response = parseFields(message);
        for (Field field : response) {
            if (field.number != SVIDS) {
                continue;
            }
            List<Field> svid = parseFields(field.bytes);
            if (!hint.isEmpty() && !hint.equals(new String(lastValue(svid, HINT), StandardCharsets.UTF_8))) {
                continue;
            }
            SpiffeId id = SpiffeId.parse(new String(lastValue(svid, ID), StandardCharsets.UTF_8));
            List<X509Certificate> chain = PemReader.derCertificates(lastValue(svid, CHAIN));
            PrivateKey key = PemReader.derKey(
                    lastValue(svid, KEY), chain.get(0).getPublicKey().getAlgorithm());
            List<TrustBundle> bundles = new ArrayList<>();
            bundles.add(
                    new TrustBundle(id.trustDomain(), PemReader.derCertificates(lastValue(svid, BUNDLE)), Map.of()));
            for (Map.Entry<String, byte[]> other :
                    parseDomainMap(response, FEDERATED).entrySet()) {
                bundles.add(new TrustBundle(other.getKey(), PemReader.derCertificates(other.getValue()), Map.of()));
            }
            return new Offer(chain, key, bundles);
        }
        throw new IdentityRejectedException(
                Reason.UNREADABLE, hint.isEmpty() ? "no identity for us" : "no identity with the hint " + hint);
    }

    /** The keys that sign tokens, by trust domain. */
    public static Map<String, Map<String, PublicKey>> parseJwtBundlesResponse(byte[] message)
            throws IdentityRejectedException {
        Map<String, Map<String, PublicKey>> keys = new HashMap<>();
        for (Map.Entry<String, byte[]> each :
                parseDomainMap(parseFields(message), BUNDLES).entrySet()) {
            keys.put(each.getKey(), JwkSets.parseKeys(new String(each.getValue(), StandardCharsets.UTF_8)));
        }
        return keys;
    }

    /** A map from trust domains, with or without their scheme, to bytes. */
    private static Map<String, byte[]> parseDomainMap(List<Field> fields, int number) throws IdentityRejectedException {
        Map<String, byte[]> map = new HashMap<>();
        for (Field field : fields) {
            if (field.number == number) {
                List<Field> entry = parseFields(field.bytes);
                String key = new String(lastValue(entry, 1), StandardCharsets.UTF_8);
                map.put(
                        SpiffeId.trustDomain(key.startsWith(SCHEME) ? key.substring(SCHEME.length()) : key),
                        lastValue(entry, 2));
            }
        }
        return map;
    }
}
