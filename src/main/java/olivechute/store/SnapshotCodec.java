package olivechute.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Map;
import olivechute.error.DiskException;
import olivechute.error.ErrorCode;
import olivechute.store.wire.Announce;
import olivechute.store.wire.Entry;
import olivechute.store.wire.Fence;
import olivechute.store.wire.Snapshot;

/**
 * Between a state and the file that holds it: pieces of at most about 256 KiB, so neither side needs a copy of the
 * whole in memory. What watches ask about is left out: after a restore a watch from before it is told all there is.
 * Every format begins with a piece that holds the format's number.
 */
public final class SnapshotCodec {
    /** The format that this program writes and the highest that it reads. */
    public static final int FORMAT = 1;

    private static final int FRAME_BYTES = 256 << 10;

    private SnapshotCodec() {}

    /** Writes a state and flushes; the stream stays open. The same state gives the same bytes. */
    public static void write(StoreState state, OutputStream output) throws IOException {
        write(state, output, FRAME_BYTES);
    }

    /** {@code most}: bytes at which a piece ends, over which it goes by one entry at most. */
    static void write(StoreState state, OutputStream output, int frameBytes) throws IOException {
        SnapshotFrames.Writer writer = new SnapshotFrames.Writer(output);
        writer.writeFrame(header(state));
        FrameBuilder frames = new FrameBuilder(writer, frameBytes);
        for (LeaseEntry lease : state.leases().bySession().values()) {
            frames.current().addLeases(lease.toMessage());
            frames.addBytes(EntrySizes.sizeInBytes(lease.name()) + (long) EntrySizes.sizeInBytes(lease.owner()));
        }
        for (Map.Entry<String, Long> fence : state.fences().entrySet()) {
            frames.current()
                    .addFences(Fence.newBuilder().setDomain(fence.getKey()).setNumber(fence.getValue()));
            frames.addBytes(EntrySizes.sizeInBytes(fence.getKey()));
        }
        for (Map.Entry<String, VersionedValue> each : state.entries().entrySet()) {
            VersionedValue stored = each.getValue();
            frames.current()
                    .addEntries(Entry.newBuilder()
                            .setKey(each.getKey())
                            .setValue(stored.value())
                            .setVersion(stored.version()))
                    .addEntrySessions(stored.session());
            frames.addBytes(EntrySizes.sizeInBytes(each.getKey(), stored.value()));
        }
        frames.flush();
        writer.finish();
    }

    /**
     * Reads a state to the end of the stream.
     *
     * @throws DiskException DATA_CORRUPT with the first piece that is not as written; LEVEL_TOO_LOW for a format of a
     *     newer program
     */
    public static StoreState read(InputStream input) throws IOException, DiskException {
        SnapshotFrames.Reader reader = new SnapshotFrames.Reader(input);
        byte[] first = reader.readFrame();
        Snapshot header = parse(reader, first);
        if (first.length == 0 || header.getFormat() == 0) {
            throw reader.corruptFrame("holds no format");
        }
        if (Integer.compareUnsigned(header.getFormat(), FORMAT) > 0) {
            throw new DiskException(
                    ErrorCode.LEVEL_TOO_LOW,
                    "snapshot of format " + Integer.toUnsignedString(header.getFormat()) + ", this program reads up to "
                            + FORMAT);
        }
        SnapshotLoader loader = new SnapshotLoader(header);
        for (byte[] bytes = reader.readFrame(); bytes.length > 0; bytes = reader.readFrame()) {
            String problem = loader.addFrame(parse(reader, bytes));
            if (problem != null) {
                throw reader.corruptFrame(problem);
            }
        }
        return loader.toState();
    }

    private static byte[] header(StoreState state) {
        Snapshot.Builder header = Snapshot.newBuilder()
                .setFormat(FORMAT)
                .setVersion(state.version())
                .setNowMs(state.clockMs())
                .setLevel(state.featureLevel())
                .setIndex(state.index());
        state.announcedLevels()
                .forEach((replica, knows) -> header.addAnnounced(
                        Announce.newBuilder().setReplica(replica).setKnows(knows)));
        return header.build().toByteArray();
    }

    private static Snapshot parse(SnapshotFrames.Reader reader, byte[] bytes) throws DiskException {
        try {
            return Snapshot.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw reader.corruptFrame("cannot be read: " + e.getMessage());
        }
    }

    /** The piece that is being filled. */
    private static final class FrameBuilder {
        private final SnapshotFrames.Writer writer;
        private final int frameBytes;
        private Snapshot.Builder frame = Snapshot.newBuilder();
        private long estimatedBytes;

        FrameBuilder(SnapshotFrames.Writer writer, int frameBytes) {
            this.writer = writer;
            this.frameBytes = frameBytes;
        }

        Snapshot.Builder current() throws IOException {
            if (estimatedBytes >= frameBytes) {
                flush();
            }
            return frame;
        }

        /** Counts what was added; 16 bytes stand for numbers and tags. */
        void addBytes(long added) {
            estimatedBytes += added + 16;
        }

        void flush() throws IOException {
            if (estimatedBytes > 0) {
                writer.writeFrame(frame.build().toByteArray());
                frame = Snapshot.newBuilder();
                estimatedBytes = 0;
            }
        }
    }
}
