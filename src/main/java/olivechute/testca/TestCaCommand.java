package olivechute.testca;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.SpiffeId;
import olivechute.svid.WorkloadApiMessages;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The {@code issuer} command: writes a development trust domain to a folder, with its trust bundle and, for each
 * workload, an SVID with its key.
 */
@Command(
        name = "issuer",
        mixinStandardHelpOptions = true,
        sortOptions = false,
        description =
                "Writes a trust domain for development: a root, an intermediate, an SVID for each ID, and a node's settings.",
        footer = {
            "Each ID's folder is named after its path, with dashes for slashes. The root's key is not kept: another call creates "
                    + "a different trust domain of the same name.",
            "Exit status: 0 success, 1 a reported error, 2 invalid arguments."
        })
public final class TestCaCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--dir",
            required = true,
            paramLabel = "DIR",
            description = "Target folder; created if it does not exist.")
    private Path dir;

    @Option(
            names = "--trust-domain",
            defaultValue = "dev.example",
            paramLabel = "NAME",
            description = "The trust domain (${DEFAULT-VALUE}).")
    private String trustDomain;

    @Option(names = "--path", paramLabel = "PATH", description = "A workload's path, such as /node; may be repeated.")
    private List<String> paths = new ArrayList<>(List.of("/node", "/sign-worker", "/client"));

    @Option(
            names = "--hours",
            defaultValue = "24",
            paramLabel = "N",
            description = "Lifetime of the SVIDs in hours (${DEFAULT-VALUE}).")
    private int hours;

    @Option(
            names = "--forge",
            paramLabel = "KIND",
            description = "Also writes an SVID that must be rejected, to the folder forged: ${COMPLETION-CANDIDATES}.")
    private ForgedIdentity forgery;

    @Option(
            names = "--serve",
            paramLabel = "unix:PATH|tcp://ADDRESS:PORT",
            description = "Also acts as the agent of the first ID: serves "
                    + "the Workload API there until stopped, and renews the SVID at half of its lifetime.")
    private String serve;

    @Option(
            names = "--life",
            paramLabel = "SECONDS",
            description = "With --serve: lifetime of the SVIDs in seconds, instead of --hours.")
    private int lifetimeSeconds;

    @Override
    public Integer call() throws InterruptedException {
        try {
            Instant now = Instant.now();
            Instant from = now.minusSeconds(60);
            Instant to = now.plus(Duration.ofHours(hours));
            List<SpiffeId> ids = new ArrayList<>();
            for (String path : paths) {
                ids.add(SpiffeId.parse("spiffe://" + trustDomain + path));
            }
            CertificateAuthority root = CertificateAuthority.root(trustDomain, from, to.plus(Duration.ofHours(hours)));
            CertificateAuthority intermediate = root.intermediate(from, to.plus(Duration.ofHours(hours)));
            Files.createDirectories(dir);
            PemWriter.write(dir.resolve("bundle.pem"), List.of(root.certificate()));
            for (SpiffeId id : ids) {
                new TrustDirectory(folder(id))
                        .svid(intermediate.issue(id, from, to))
                        .bundle(List.of(root.certificate()));
                spec.commandLine().getOut().println(id);
            }
            if (forgery != null) {
                new TrustDirectory(dir.resolve("forged"))
                        .svid(forgery.make(new ForgedIdentity.ForgeryContext(trustDomain, root, now)))
                        .bundle(List.of(root.certificate()));
            }
            Path settings = dir.resolve("olivechute.conf");
            Files.writeString(settings, settings(ids.get(0)));
            spec.commandLine().getOut().println("settings of a node: " + settings);
            if (serve != null) {
                serve(ids.get(0), intermediate, root);
            }
            return 0;
        } catch (IdentityRejectedException e) {
            throw new ParameterException(spec.commandLine(), "--trust-domain, --path: " + e.getMessage());
        } catch (IOException e) {
            spec.commandLine().getErr().println("--dir: cannot be written: " + e.getMessage());
            return 1;
        }
    }

    /**
     * Returns the settings of a node with a TLS address beside its plain one, where any workload of the trust domain is
     * a client of any tenant.
     */
    private String settings(SpiffeId node) {
        return """
            # Written by the issuer, for development. deploy/olivechute.conf tells of each key.
            identity {
              enabled = true
              trust_domain = "DOMAIN"
              source { folder = "FOLDER" }
              downstream { mode = beside, listen = "127.0.0.1:7443" }
              clients = [ { id = "spiffe://DOMAIN", tenants = ["*"] } ]
              hosts = [ { host = "*", id = "spiffe://DOMAIN/sign-worker" } ]
            }
            """.replace("DOMAIN", trustDomain)
                .replace("FOLDER", folder(node).toAbsolutePath().toString().replace("\\", "\\\\"));
    }

    private Path folder(SpiffeId id) {
        return dir.resolve(id.path().substring(1).replace('/', '-'));
    }

    private void serve(SpiffeId id, CertificateAuthority intermediate, CertificateAuthority root)
            throws IOException, InterruptedException {
        Duration lifetime = lifetimeSeconds > 0 ? Duration.ofSeconds(lifetimeSeconds) : Duration.ofHours(hours);
        boolean unixSocket = serve.startsWith("unix:");
        if (!unixSocket && !serve.matches("tcp://127[0-9.]*:[0-9]{1,5}")) {
            throw new ParameterException(
                    spec.commandLine(), "--serve: must be unix:PATH or tcp://ADDRESS:PORT of loopback");
        }
        try (WorkloadApiServer agent = unixSocket
                ? new WorkloadApiServer(Path.of(serve.substring("unix:".length())))
                : new WorkloadApiServer(Integer.parseInt(serve.substring(serve.lastIndexOf(':') + 1)))) {
            spec.commandLine().getOut().println("serves " + id + " at " + agent.address());
            spec.commandLine().getOut().flush();
            for (; ; ) {
                Instant now = Instant.now();
                agent.publish(
                        WorkloadApiMessages.FETCH_X509,
                        WorkloadApiResponses.x509Response(
                                id.toString(),
                                intermediate.issue(id, now.minusSeconds(60), now.plus(lifetime)),
                                List.of(root.certificate()),
                                Map.of(),
                                ""));
                Thread.sleep(lifetime.toMillis() / 2);
            }
        }
    }
}
