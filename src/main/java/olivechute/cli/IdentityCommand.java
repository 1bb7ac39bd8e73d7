package olivechute.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import olivechute.config.Address;
import olivechute.config.InvalidValueException;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.PemReader;
import olivechute.identity.SpiffeId;
import olivechute.identity.TrustBundle;
import olivechute.identity.TrustBundles;
import olivechute.identity.X509Check;
import olivechute.identity.X509Svid;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The {@code identity} command, which inspects SPIFFE identities: what an SVID holds, and whether and why a node would
 * reject it.
 */
@Command(
        name = "identity",
        mixinStandardHelpOptions = true,
        subcommands = IdentityCommand.Show.class,
        description = "Inspects SPIFFE identities.")
final class IdentityCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "identity: a subcommand is required");
    }

    /** {@code identity show}: prints a certificate chain and whether it is valid against a trust bundle. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            sortOptions = false,
            description = "Prints an X.509-SVID, and why it would be rejected.",
            footer = "Exit status: 0 valid, 1 would be rejected or cannot be read, 2 invalid arguments.")
    static final class Show implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(
                paramLabel = "FILE|ADDRESS",
                description = "Certificate chain as PEM, the workload's first, or ADDRESS:PORT of a TLS peer "
                        + "that presents one.")
        private String source;

        @Option(
                names = "--bundle",
                paramLabel = "FILE",
                required = true,
                description = "The CA certificates of the SVID's trust domain, as PEM.")
        private Path bundle;

        @Option(
                names = "--svid",
                paramLabel = "DIR",
                description =
                        "Client identity for a TLS peer: the folder of svid.pem and svid_key.pem; none if left out.")
        private Path svid;

        @Option(
                names = "--at",
                paramLabel = "TIME",
                description = "Time at which validity is checked, as 2026-12-01T12:00:00Z; now if left out.")
        private Instant at;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            try {
                List<X509Certificate> chain = Files.exists(Path.of(source))
                        ? PemReader.certificates(readText(Path.of(source)))
                        : PeerCertificateProbe.presentedChain(Address.parse("ADDRESS", source), ownIdentity());
                for (X509Certificate certificate : chain) {
                    out.println(certificate.getSubjectX500Principal() + ", " + certificate.getSigAlgName() + ", from "
                            + certificate.getNotBefore().toInstant() + " to "
                            + certificate.getNotAfter().toInstant());
                }
                SpiffeId id = X509Check.leafId(chain.get(0));
                out.println("names " + id);
                TrustBundle trustBundle =
                        new TrustBundle(id.trustDomain(), PemReader.certificates(readText(bundle)), Map.of());
                X509Svid checkedSvid =
                        X509Check.check(chain, TrustBundles.EMPTY.with(trustBundle), at == null ? Instant.now() : at);
                out.println("holds until " + checkedSvid.notAfter());
                return 0;
            } catch (IdentityRejectedException e) {
                out.println("refused: " + e.getMessage());
                return 1;
            } catch (InvalidValueException e) {
                throw new ParameterException(spec.commandLine(), source + ": no such file, and " + e.getMessage());
            } catch (IOException e) {
                spec.commandLine().getErr().println("cannot read " + e.getMessage());
                return 1;
            }
        }

        private KeyStore.PrivateKeyEntry ownIdentity() throws IOException, IdentityRejectedException {
            if (svid == null) {
                return null;
            }
            List<X509Certificate> chain = PemReader.certificates(readText(svid.resolve("svid.pem")));
            PrivateKey key = PemReader.key(
                    readText(svid.resolve("svid_key.pem")),
                    chain.get(0).getPublicKey().getAlgorithm());
            return new KeyStore.PrivateKeyEntry(key, chain.toArray(new X509Certificate[0]));
        }

        private static String readText(Path file) throws IOException {
            return new String(Files.readAllBytes(file), StandardCharsets.ISO_8859_1);
        }
    }
}
