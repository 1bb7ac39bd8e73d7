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

/**
 * Parses the SPIFFE Workload API responses that a node receives, by the protobuf field numbers of the public
 * definition.
 */
public final class WorkloadApiMessages {
    /** The method that streams the node's X.509 SVIDs and trust bundles. */
    public static final String FETCH_X509 = "/SpiffeWorkloadAPI/FetchX509SVID";
    /** The method that streams the keys that verify JWT SVIDs. */
    public static final String FETCH_JWT_BUNDLES = "/SpiffeWorkloadAPI/FetchJWTBundles";
    /** Metadata required on each call, so that a browser cannot be made to call the API. */
    public static final Map<String, String> METADATA = Map.of("workload.spiffe.io", "true");

    // Field numbers of X509SVIDResponse
    private static final int SVIDS = 1;
    private static final int FEDERATED = 3;
    // Field numbers of X509SVID
    private static final int ID = 1;
    private static final int CHAIN = 2;
    private static final int KEY = 3;
    private static final int BUNDLE = 4;
    private static final int HINT = 5;
    private static final int BUNDLES = 1; // field number of JWTBundlesResponse
    private static final String SCHEME = "spiffe://";

    private WorkloadApiMessages() {}

    /** A length-delimited field of a message. */
    private record Field(int number, byte[] bytes) {}

    /** Returns the length-delimited fields of a message; other fields are skipped. */
    private static List<Field> parseFields(byte[] message) throws IdentityRejectedException {
        List<Field> fields = new ArrayList<>();
        try {
            CodedInputStream in = CodedInputStream.newInstance(message);
            for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
                if ((tag & 7) == 2) { // wire type 2: length-delimited
                    fields.add(new Field(tag >>> 3, in.readByteArray()));
                } else {
                    in.skipField(tag);
                }
            }
        } catch (IOException e) {
            throw new IdentityRejectedException(Reason.UNREADABLE, "not a Workload API message: " + e.getMessage());
        }
        return fields;
    }

    /**
     * Returns the last value of a field, which is the one that counts in protobuf, or an empty array if the field is
     * missing.
     */
    private static byte[] lastValue(List<Field> fields, int number) {
        byte[] found = new byte[0];
        for (Field field : fields) {
            found = field.number == number ? field.bytes : found;
        }
        return found;
    }

    /**
     * Returns the SVID with this hint, or the first one if the hint is empty, and the trust bundles of the response.
     */
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
                Reason.UNREADABLE,
                hint.isEmpty()
                        ? "the response contains no identity"
                        : "the response contains no identity with the hint " + hint);
    }

    /** Returns the keys that verify JWT SVIDs, by trust domain and key id. */
    public static Map<String, Map<String, PublicKey>> parseJwtBundlesResponse(byte[] message)
            throws IdentityRejectedException {
        Map<String, Map<String, PublicKey>> keys = new HashMap<>();
        for (Map.Entry<String, byte[]> each :
                parseDomainMap(parseFields(message), BUNDLES).entrySet()) {
            keys.put(each.getKey(), JwkSets.parseKeys(new String(each.getValue(), StandardCharsets.UTF_8)));
        }
        return keys;
    }

    /** Parses a map field from trust domains, with or without their scheme, to bytes. */
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
