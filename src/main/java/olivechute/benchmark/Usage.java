package olivechute.benchmark;

/**
 * Resources used by a node's process up to a moment, or between two: bytes allocated, garbage collections, CPU in
 * microseconds, read and write calls, voluntary context switches, copy operations, body and other bytes copied, objects
 * allocated.
 */
record Usage(
        long allocatedBytes,
        long collections,
        long cpuUs,
        long reads,
        long writes,
        long waits,
        long copies,
        long bodyBytesCopied,
        long otherBytesCopied,
        long objects) {
    /** Returns the usage since {@code before}, less the cost of the measurement itself. */
    Usage since(Usage before, Usage measurementCost) {
        return minus(before).minus(measurementCost);
    }

    Usage minus(Usage other) {
        return new Usage(
                allocatedBytes - other.allocatedBytes,
                collections - other.collections,
                cpuUs - other.cpuUs,
                reads - other.reads,
                writes - other.writes,
                waits - other.waits,
                copies - other.copies,
                bodyBytesCopied - other.bodyBytesCopied,
                otherBytesCopied - other.otherBytesCopied,
                objects - other.objects);
    }
}
