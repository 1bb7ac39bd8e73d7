package olivechute.svid;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import olivechute.identity.IdentityRejectedException;
import olivechute.identity.JwkSets;
import olivechute.identity.PemReader;
import olivechute.identity.SpiffeId;
import olivechute.identity.SvidManager.Offer;
import olivechute.identity.TrustBundle;
import olivechute.memory.FailureLog;
import olivechute.net.Threads;

/**
 * Reads SVIDs from a folder whose files an external agent replaces: {@code svid.pem}, {@code svid_key.pem},
 * {@code bundle.pem}, and optionally {@code bundle.jwks}, {@code federated/DOMAIN.pem} and
 * {@code federated/DOMAIN.jwks}. The folder is polled, as a file watcher does not notice a replaced symbolic link.
 * Files may be replaced one by one: an inconsistent set is rejected and read again at the next poll.
 */
public final class FolderSvidSource {
    private static final long MAX_FILE_BYTES = 256 * 1024;
    private static final int MAX_FILES = 64;

    private final Path folder;
    private final String trustDomain;
    private Map<String, String> appliedStamps = Map.of(); // file stamps of the last accepted offer

    /** {@code folder} may be a symbolic link and need not exist yet. */
    public FolderSvidSource(Path folder, String trustDomain) {
        this.folder = folder;
        this.trustDomain = trustDomain;
    }

    /** Polls the folder at this interval on a thread of its own, which runs until the process ends. */
    public void start(SvidListener listener, Duration interval) {
        Threads.start("svid-folder", () -> {
            try {
                for (; ; ) {
                    Thread.sleep(interval.toMillis());
                    pollSafely(listener);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Polls once; whatever fails, the next poll is made, as without it the node's identity would expire. */
    private void pollSafely(SvidListener listener) {
        try {
            poll(listener);
        } catch (RuntimeException | Error e) {
            FailureLog.log(e, "identity: reading the folder failed");
        }
    }

    /**
     * Reads the folder once and passes the result to the listener; does nothing if no file has changed since the last
     * accepted offer.
     */
    public synchronized void poll(SvidListener listener) {
        try {
            Path directory = folder.toRealPath();
            Map<String, String> stamps = fileStamps(directory);
            if (stamps.equals(appliedStamps)) {
                return;
            }
            Offer offer = read(directory);
            // If the folder was replaced or written to during the read, the next poll reads it again.
            if (folder.toRealPath().equals(directory) && fileStamps(directory).equals(stamps)) {
                listener.onOffer(offer);
                appliedStamps = stamps;
            }
        } catch (IdentityRejectedException e) {
            listener.onFailure(folder + ": " + e.getMessage());
        } catch (IOException e) {
            listener.onFailure(folder + ": cannot be read: " + e);
        }
    }

    /**
     * Returns a stamp of each file by its path: the file key, modification time and size, which change when the file is
     * replaced or rewritten.
     */
    private static Map<String, String> fileStamps(Path directory) throws IOException {
        Map<String, String> stamps = new TreeMap<>();
        for (Path file : files(directory)) {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            stamps.put(
                    file.toString(),
                    Objects.toString(attributes.fileKey()) + attributes.lastModifiedTime() + attributes.size());
        }
        return stamps;
    }

    private static List<Path> files(Path directory) throws IOException {
        List<Path> files = new ArrayList<>(List.of(
                directory.resolve("svid.pem"), directory.resolve("svid_key.pem"), directory.resolve("bundle.pem")));
        if (Files.exists(directory.resolve("bundle.jwks"))) {
            files.add(directory.resolve("bundle.jwks"));
        }
        if (Files.isDirectory(directory.resolve("federated"))) {
            try (DirectoryStream<Path> others =
                    Files.newDirectoryStream(directory.resolve("federated"), "*.{pem,jwks}")) {
                for (Path other : others) {
                    files.add(other);
                    if (files.size() > MAX_FILES) {
                        throw new IOException("more than " + MAX_FILES + " files");
                    }
                }
            }
        }
        return files;
    }

    private Offer read(Path directory) throws IOException, IdentityRejectedException {
        List<X509Certificate> chain = PemReader.certificates(readText(directory.resolve("svid.pem")));
        PrivateKey key = PemReader.key(
                readText(directory.resolve("svid_key.pem")),
                chain.get(0).getPublicKey().getAlgorithm());
        Map<String, TrustBundle> bundles = new TreeMap<>();
        for (Path file : files(directory)) {
            String name = file.getFileName().toString();
            boolean own = file.getParent().equals(directory);
            if (own && !name.startsWith("bundle.")) {
                continue;
            }
            String domain = own ? trustDomain : SpiffeId.trustDomain(name.substring(0, name.lastIndexOf('.')));
            List<X509Certificate> authorities =
                    name.endsWith(".pem") ? PemReader.certificates(readText(file)) : List.of();
            Map<String, PublicKey> keys = name.endsWith(".jwks") ? JwkSets.parseKeys(readText(file)) : Map.of();
            bundles.merge(domain, new TrustBundle(domain, authorities, keys), TrustBundle::merge);
        }
        return new Offer(chain, key, List.copyOf(bundles.values()));
    }

    private static String readText(Path file) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException(file.getFileName() + " is over " + MAX_FILE_BYTES + " bytes");
        }
        return Files.readString(file, StandardCharsets.ISO_8859_1);
    }
}
