package olivechute.benchmark;

/**
 * What a node's process had used at one moment, or between two. Bytes allocated, collections, CPU in microseconds, read
 * and write calls, times a thread gave up the core, copies, body and other bytes copied, objects.
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
    /** What was used since another moment, less what looking itself uses. */
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
