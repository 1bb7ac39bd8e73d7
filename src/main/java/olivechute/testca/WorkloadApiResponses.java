package olivechute.testca;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.cert.CertificateEncodingException;
import java.security.cert.X509Certificate;
import java.util.List;
import java.util.Map;

/**
 * Encodes SPIFFE Workload API responses as an agent sends them, by the protobuf field numbers of the public definition.
 */
public final class WorkloadApiResponses {
    private WorkloadApiResponses() {}

    private interface FieldWriter {
        void write(CodedOutputStream out) throws IOException;
    }

    private static byte[] message(FieldWriter parts) {
        try {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            CodedOutputStream out = CodedOutputStream.newInstance(bytes);
            parts.write(out);
            out.flush();
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Encodes an X.509 SVID response with one identity. {@code bundle} holds the authorities of its own trust domain,
     * {@code federated} those of others by name.
     */
    public static byte[] x509Response(
            String id,
            CertificateAuthority.Issued issued,
            List<X509Certificate> bundle,
            Map<String, List<X509Certificate>> federated,
            String hint) {
        byte[] svid = message(out -> {
            out.writeString(1, id);
            out.writeByteArray(2, der(issued.chain()));
            out.writeByteArray(3, issued.key().getEncoded());
            out.writeByteArray(4, der(bundle));
            out.writeString(5, hint);
        });
        return message(out -> {
            out.writeByteArray(1, svid);
            for (Map.Entry<String, List<X509Certificate>> each : federated.entrySet()) {
                out.writeByteArray(3, entry(each.getKey(), der(each.getValue())));
            }
        });
    }

    /** Encodes a JWT bundles response from key sets by trust domain name. */
    public static byte[] jwtBundlesResponse(Map<String, String> keySets) {
        return message(out -> {
            for (Map.Entry<String, String> each : keySets.entrySet()) {
                out.writeByteArray(1, entry(each.getKey(), each.getValue().getBytes(StandardCharsets.UTF_8)));
            }
        });
    }

    private static byte[] entry(String domain, byte[] value) {
        return message(out -> {
            out.writeString(1, "spiffe://" + domain);
            out.writeByteArray(2, value);
        });
    }

    private static byte[] der(List<X509Certificate> certificates) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try {
            for (X509Certificate each : certificates) {
                all.writeBytes(each.getEncoded());
            }
        } catch (CertificateEncodingException e) {
            throw new IllegalStateException(e);
        }
        return all.toByteArray();
    }
}
