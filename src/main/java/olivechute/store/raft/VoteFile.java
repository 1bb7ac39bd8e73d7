package olivechute.store.raft;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import org.tinylog.Logger;

/**
 * The file in which the Raft library stores a replica's term and vote. When the library writes it to a full disk, a
 * truncated file replaces the complete one. While the process runs, the replica's last term is known: the replica has
 * not voted in a higher term, and recording a vote for itself in that term cannot grant a second vote to another
 * replica.
 */
final class VoteFile {
    private VoteFile() {}

    /** Repairs a truncated file; {@code term} is the highest term that this replica has been in. */
    static void repair(Path file, long term, String id) throws IOException {
        if (!Files.exists(file) || isComplete(Files.readString(file))) {
            return;
        }
        Logger.warn("vote file truncated on a full disk; repaired at term {}", term);
        Path replacement = file.resolveSibling("raft-meta.mended");
        try (FileChannel channel = FileChannel.open(
                replacement,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE)) {
            ByteBuffer bytes =
                    ByteBuffer.wrap(("term=" + term + "\nvotedFor=" + id + "\n").getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        }
        Files.move(replacement, file, StandardCopyOption.ATOMIC_MOVE);
    }

    static boolean isComplete(String text) {
        return text.matches(
                "(?s)(.*\n)?term=[0-9]+\n(.*\n)?votedFor=[^\n]*\n.*|(?s)(.*\n)?votedFor=[^\n]*\n(.*\n)?term=[0-9]+\n.*");
    }
}
