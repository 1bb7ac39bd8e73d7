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
 * Writes a state to a snapshot file and reads it back, in frames of at most about 256 KiB, so that neither side needs a
 * copy of the whole file in memory. The change history is left out: after a restore, a watch from an earlier version
 * returns a complete listing. Every format begins with a frame that holds the number of the format.
 */
public final class SnapshotCodec {
    /** Format that this program writes, and the highest one that it reads. */
    public static final int FORMAT = 1;

    private static final int FRAME_BYTES = 256 << 10;

    private SnapshotCodec() {}

    /** Writes a state and flushes; the stream stays open. Equal states give the same bytes. */
    public static void write(StoreState state, OutputStream output) throws IOException {
        write(state, output, FRAME_BYTES);
    }

    /** Writes a state; a frame ends once it has {@code frameBytes}, which its last entry may exceed. */
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
     * Reads a state up to the end of the stream.
     *
     * @throws DiskException DATA_CORRUPT with the first damaged frame; LEVEL_TOO_LOW for the format of a newer program
     */
    public static StoreState read(InputStream input) throws IOException, DiskException {
        SnapshotFrames.Reader reader = new SnapshotFrames.Reader(input);
        byte[] first = reader.readFrame();
        Snapshot header = parse(reader, first);
        if (first.length == 0 || header.getFormat() == 0) {
            throw reader.corruptFrame("has no format number");
        }
        if (Integer.compareUnsigned(header.getFormat(), FORMAT) > 0) {
            throw new DiskException(
                    ErrorCode.LEVEL_TOO_LOW,
                    "snapshot has format " + Integer.toUnsignedString(header.getFormat())
                            + ", this program supports formats up to " + FORMAT);
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
                .forEach((replica, level) -> header.addAnnounced(
                        Announce.newBuilder().setReplica(replica).setKnows(level)));
        return header.build().toByteArray();
    }

    private static Snapshot parse(SnapshotFrames.Reader reader, byte[] bytes) throws DiskException {
        try {
            return Snapshot.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw reader.corruptFrame("cannot be parsed: " + e.getMessage());
        }
    }

    /** Collects entries into the current frame and writes it out once it is full. */
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

        /** Adds to the estimated size of the frame; 16 bytes per entry stand for numbers and tags. */
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
