package olivechute.issuer;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import olivechute.identity.RefusedException;
import olivechute.identity.SpiffeId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code issuer}: a development trust domain in a folder: its bundle, and for each workload a document with its key. */
@Command(name = "issuer", mixinStandardHelpOptions = true, sortOptions = false,
    description = "Writes a trust domain for development: a root, an intermediate, and a document for each ID.",
    footer = {"Each ID's folder is named by its path, with dashes for slashes. The root's key is not kept: another call makes "
        + "another domain of the same name.", "Exit status: 0 written, 1 not written, 2 wrong call."})
public final class IssuerCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--dir", required = true, paramLabel = "DIR", description = "Where to; made if it is not there.")
    private Path dir;

    @Option(names = "--trust-domain", defaultValue = "dev.example", paramLabel = "NAME",
        description = "The domain (${DEFAULT-VALUE}).")
    private String trustDomain;

    @Option(names = "--path", paramLabel = "PATH", description = "A workload's path, as /node; may be given again.")
    private List<String> paths = new ArrayList<>(List.of("/node", "/sign-worker", "/client"));

    @Option(names = "--hours", defaultValue = "24", paramLabel = "N", description = "How long documents hold (${DEFAULT-VALUE}).")
    private int hours;

    @Option(names = "--forge", paramLabel = "KIND",
        description = "Beside these a document that must be refused, in the folder forged: ${COMPLETION-CANDIDATES}.")
    private Forgery forgery;

    @Override
    public Integer call() {
        try {
            Instant now = Instant.now();
            Instant from = now.minusSeconds(60);
            Instant to = now.plus(Duration.ofHours(hours));
            List<SpiffeId> ids = new ArrayList<>();
            for (String path : paths) {
                ids.add(SpiffeId.parse("spiffe://" + trustDomain + path));
            }
            Authority root = Authority.root(trustDomain, from, to.plus(Duration.ofHours(hours)));
            Authority between = root.intermediate(from, to.plus(Duration.ofHours(hours)));
            Files.createDirectories(dir);
            Pem.write(dir.resolve("bundle.pem"), List.of(root.certificate()));
            for (SpiffeId id : ids) {
                new TrustFolder(dir.resolve(id.path().substring(1).replace('/', '-'))).svid(between.issue(id, from, to))
                    .bundle(List.of(root.certificate()));
                spec.commandLine().getOut().println(id);
            }
            if (forgery != null) {
                new TrustFolder(dir.resolve("forged")).svid(forgery.make(new Forgery.Ground(trustDomain, root, now)))
                    .bundle(List.of(root.certificate()));
            }
            return 0;
        } catch (RefusedException e) {
            throw new ParameterException(spec.commandLine(), "--trust-domain, --path: " + e.getMessage());
        } catch (IOException e) {
            spec.commandLine().getErr().println("--dir: cannot write: " + e.getMessage());
            return 1;
        }
    }
}
