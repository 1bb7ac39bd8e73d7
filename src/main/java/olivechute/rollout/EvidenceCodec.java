package olivechute.rollout;

import java.nio.BufferOverflowException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * Encodes {@link Evidence} for the store: format version, CRC-32 of the remainder, then the fields in order; integers
 * as varints, sums as floats (of a node) and doubles (of the fleet). Never longer than
 * {@link EvidenceLimits#MAX_BYTES}; if the sums do not fit, the comparison starts over.
 */
final class EvidenceCodec {
    private static final byte FORMAT_VERSION = 1;
    private static final int HEADER_BYTES = 5;

    private EvidenceCodec() {}

    /**
     * If the evidence does not fit, also resets the comparison and the times since when nodes have not been ready in
     * the argument.
     */
    static byte[] encode(Evidence evidence) {
        ByteBuffer buffer = ByteBuffer.allocate(EvidenceLimits.MAX_BYTES);
        try {
            write(evidence, buffer);
        } catch (BufferOverflowException e) {
            evidence.resetComparison();
            evidence.notReadySinceMs.clear();
            buffer.clear();
            write(evidence, buffer);
        }
        CRC32 checksum = new CRC32();
        checksum.update(buffer.array(), HEADER_BYTES, buffer.position() - HEADER_BYTES);
        buffer.put(0, FORMAT_VERSION).putInt(1, (int) checksum.getValue());
        return Arrays.copyOf(buffer.array(), buffer.position());
    }

    private static void write(Evidence evidence, ByteBuffer buffer) {
        buffer.position(HEADER_BYTES);
        buffer.put((byte) evidence.holdReason.ordinal()).put((byte) (evidence.operatorApproved ? 1 : 0));
        writeString(buffer, evidence.rollbackCause);
        writeVarint(buffer, evidence.firstMoveMs);
        writeVarint(buffer, evidence.currentBlock + 1);
        writeVarint(buffer, evidence.lastFastBucket + 1);
        writeVarint(buffer, evidence.newStreams);
        writeVarint(buffer, evidence.classes.size());
        for (int c = 0; c < evidence.classes.size(); c++) {
            writeString(buffer, evidence.classes.get(c));
            writeVarint(buffer, evidence.newRequests[c]);
            writeVarint(buffer, evidence.oldRequests[c]);
        }
        for (VarianceEstimator estimator : evidence.estimators) {
            buffer.putDouble(estimator.baselineSquares)
                    .putDouble(estimator.baselineExpected)
                    .putDouble(estimator.stageSquares)
                    .putDouble(estimator.stageExpected);
            buffer.putDouble(estimator.residualSquares)
                    .putDouble(estimator.residualTimesExpected)
                    .putDouble(estimator.expectedSquares);
            buffer.putDouble(estimator.controlBlockSum)
                    .putDouble(estimator.controlBaselineSum)
                    .putDouble(estimator.controlDriftSum);
            writeVarint(buffer, estimator.baselineCount);
            writeVarint(buffer, estimator.stageCount);
            writeVarint(buffer, estimator.blockCount);
        }
        writeVarint(buffer, evidence.notReadySinceMs.size());
        evidence.notReadySinceMs.forEach((name, sinceMs) -> {
            writeString(buffer, name);
            writeVarint(buffer, sinceMs);
        });
        writeVarint(buffer, evidence.nodes.size());
        evidence.nodes.forEach((name, node) -> {
            writeString(buffer, name);
            writeNodeEvidence(buffer, node);
        });
    }

    private static void writeNodeEvidence(ByteBuffer buffer, NodeEvidence node) {
        writeVarint(buffer, node.incarnation);
        writeVarint(buffer, node.sequence);
        buffer.put((byte) (node.blockStartTotals == null ? 0 : 1));
        for (int i = 0; node.blockStartTotals != null && i < node.blockStartTotals.length; i++) {
            writeVarint(buffer, node.blockStartTotals[i]);
        }
        for (float[] sums :
                new float[][] {node.baselineResidual, node.baselineExpected, node.stageResidual, node.stageExpected}) {
            for (float sum : sums) {
                buffer.putFloat(sum);
            }
        }
    }

    /** Empty if the bytes have another format or are truncated or corrupt. */
    static Optional<Evidence> decode(byte[] bytes) {
        if (bytes.length <= HEADER_BYTES || bytes.length > EvidenceLimits.MAX_BYTES || bytes[0] != FORMAT_VERSION) {
            return Optional.empty();
        }
        CRC32 checksum = new CRC32();
        checksum.update(bytes, HEADER_BYTES, bytes.length - HEADER_BYTES);
        if (ByteBuffer.wrap(bytes).getInt(1) != (int) checksum.getValue()) {
            return Optional.empty();
        }
        try {
            return Optional.of(read(ByteBuffer.wrap(bytes).position(HEADER_BYTES)));
        } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Evidence read(ByteBuffer buffer) {
        Evidence evidence = new Evidence();
        evidence.holdReason = Evidence.HoldReason.values()[buffer.get()];
        evidence.operatorApproved = buffer.get() == 1;
        evidence.rollbackCause = readString(buffer);
        evidence.firstMoveMs = readVarint(buffer);
        evidence.currentBlock = readVarint(buffer) - 1;
        evidence.lastFastBucket = (int) readVarint(buffer) - 1;
        long newStreams = readVarint(buffer);
        int classCount = readCount(buffer, Evidence.MAX_CLASSES);
        List<String> names = new ArrayList<>();
        long[] newRequests = new long[classCount];
        long[] oldRequests = new long[classCount];
        for (int c = 0; c < classCount; c++) {
            names.add(readString(buffer));
            newRequests[c] = readVarint(buffer);
            oldRequests[c] = readVarint(buffer);
        }
        if (classCount > 0) {
            evidence.startComparison(names);
            evidence.newRequests = newRequests;
            evidence.oldRequests = oldRequests;
        }
        evidence.newStreams = newStreams;
        for (VarianceEstimator estimator : evidence.estimators) {
            estimator.baselineSquares = buffer.getDouble();
            estimator.baselineExpected = buffer.getDouble();
            estimator.stageSquares = buffer.getDouble();
            estimator.stageExpected = buffer.getDouble();
            estimator.residualSquares = buffer.getDouble();
            estimator.residualTimesExpected = buffer.getDouble();
            estimator.expectedSquares = buffer.getDouble();
            estimator.controlBlockSum = buffer.getDouble();
            estimator.controlBaselineSum = buffer.getDouble();
            estimator.controlDriftSum = buffer.getDouble();
            estimator.baselineCount = readVarint(buffer);
            estimator.stageCount = readVarint(buffer);
            estimator.blockCount = readVarint(buffer);
        }
        for (int remaining = readCount(buffer, EvidenceLimits.MAX_BYTES); remaining > 0; remaining--) {
            evidence.notReadySinceMs.put(readString(buffer), readVarint(buffer));
        }
        for (int remaining = readCount(buffer, EvidenceLimits.MAX_BYTES); remaining > 0; remaining--) {
            evidence.nodes.put(readString(buffer), readNodeEvidence(buffer, evidence));
        }
        return evidence;
    }

    private static NodeEvidence readNodeEvidence(ByteBuffer buffer, Evidence evidence) {
        NodeEvidence node = new NodeEvidence(evidence.seriesCount());
        node.incarnation = readVarint(buffer);
        node.sequence = readVarint(buffer);
        if (buffer.get() == 1) {
            node.blockStartTotals = new long[MetricsSample.length(evidence.classes.size())];
            for (int i = 0; i < node.blockStartTotals.length; i++) {
                node.blockStartTotals[i] = readVarint(buffer);
            }
        }
        for (float[] sums :
                new float[][] {node.baselineResidual, node.baselineExpected, node.stageResidual, node.stageExpected}) {
            for (int series = 0; series < sums.length; series++) {
                sums[series] = buffer.getFloat();
            }
        }
        return node;
    }

    private static void writeVarint(ByteBuffer buffer, long value) {
        long remaining = value;
        while ((remaining & ~0x7fL) != 0) {
            buffer.put((byte) ((remaining & 0x7f) | 0x80));
            remaining >>>= 7;
        }
        buffer.put((byte) remaining);
    }

    private static long readVarint(ByteBuffer buffer) {
        long value = 0;
        for (int shift = 0; ; shift += 7) {
            Objects.checkIndex(shift, Long.SIZE);
            byte next = buffer.get();
            value |= (next & 0x7fL) << shift;
            if (next >= 0) {
                return value;
            }
        }
    }

    private static int readCount(ByteBuffer buffer, int max) {
        long count = readVarint(buffer);
        return Math.toIntExact(Objects.checkIndex(count, max + 1L));
    }

    private static void writeString(ByteBuffer buffer, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        writeVarint(buffer, bytes.length);
        buffer.put(bytes);
    }

    private static String readString(ByteBuffer buffer) {
        byte[] bytes = new byte[readCount(buffer, EvidenceLimits.MAX_BYTES)];
        buffer.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
