package olivechute.store.raft;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import olivechute.store.ReplicaAddress;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.grpc.GrpcConfigKeys;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.RaftServerConfigKeys.Log;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;

/**
 * Maps the settings to the configuration of the Ratis library: the Raft group, and memory limits that let a replica run
 * in a small heap.
 */
final class RatisConfiguration {
    private static final int MIB = 1024 * 1024;
    private static final int CACHED_SEGMENTS = 2;
    private static final int MAX_COMMAND_BYTES = 4 * MIB;
    private static final int PREALLOCATED_BYTES = 64 * 1024; // preallocated in a log file ahead of the last write
    private static final int SNAPSHOT_CHUNK_BYTES = MIB; // size of the chunks in which a snapshot is sent to a replica

    private RatisConfiguration() {}

    /**
     * Returns the Raft group of these replicas. Its id is derived from the region's name and the replica ids, so that
     * members of another group are rejected.
     */
    static RaftGroup group(String region, List<ReplicaAddress> replicas) {
        List<RaftPeer> peers = new ArrayList<>();
        for (ReplicaAddress each : replicas) {
            peers.add(RaftPeer.newBuilder()
                    .setId(each.id())
                    .setAddress(each.address())
                    .build());
        }
        String ids = replicas.stream().map(ReplicaAddress::id).sorted().collect(Collectors.joining(","));
        UUID id =
                UUID.nameUUIDFromBytes(("olivechute store " + region + " of " + ids).getBytes(StandardCharsets.UTF_8));
        return RaftGroup.valueOf(RaftGroupId.valueOf(id), peers);
    }

    static RaftProperties serverProperties(ReplicaSettings settings, Path logDirectory) {
        RaftProperties properties = new RaftProperties();
        String address = settings.self().address();
        int colon = address.lastIndexOf(':');
        GrpcConfigKeys.Server.setHost(properties, address.substring(0, colon));
        GrpcConfigKeys.Server.setPort(properties, Integer.parseInt(address.substring(colon + 1)));
        GrpcConfigKeys.setMessageSizeMax(properties, SizeInBytes.valueOf(2L * MAX_COMMAND_BYTES));
        GrpcConfigKeys.setFlowControlWindow(properties, SizeInBytes.valueOf(MIB));
        // One append request at a time carries all pending entries. Several at once can arrive out of order, and the
        // follower rejects them then.
        GrpcConfigKeys.Server.setLeaderOutstandingAppendsMax(properties, 1);
        RaftServerConfigKeys.setStorageDir(properties, List.of(logDirectory.toFile()));
        RaftServerConfigKeys.Rpc.setTimeoutMin(
                properties, millis(settings.minElectionTimeout().toMillis()));
        RaftServerConfigKeys.Rpc.setTimeoutMax(
                properties, millis(settings.maxElectionTimeout().toMillis()));
        RaftServerConfigKeys.Rpc.setRequestTimeout(
                properties, millis(settings.maxElectionTimeout().toMillis()));
        RaftServerConfigKeys.LeaderElection.setLeaderStepDownWaitTime(properties, millis(2_000));
        RaftServerConfigKeys.Read.setOption(properties, RaftServerConfigKeys.Read.Option.LINEARIZABLE);
        // Ratis shuts a server down after a JVM pause longer than this threshold. One hour rules that out in practice:
        // a stalled process is the concern of its supervisor.
        RaftServerConfigKeys.setCloseThreshold(properties, millis(3_600_000));
        setMemoryLimits(properties, settings);
        return properties;
    }

    private static void setMemoryLimits(RaftProperties properties, ReplicaSettings settings) {
        Log.setSegmentSizeMax(properties, SizeInBytes.valueOf(settings.segmentBytes()));
        Log.setSegmentCacheNumMax(properties, CACHED_SEGMENTS);
        Log.setSegmentCacheSizeMax(properties, SizeInBytes.valueOf((long) CACHED_SEGMENTS * settings.segmentBytes()));
        Log.setPreallocatedSize(properties, SizeInBytes.valueOf(PREALLOCATED_BYTES));
        Log.setWriteBufferSize(properties, SizeInBytes.valueOf(MAX_COMMAND_BYTES + 64 * 1024));
        Log.setQueueByteLimit(properties, SizeInBytes.valueOf(2L * MAX_COMMAND_BYTES));
        Log.setQueueElementLimit(properties, 1024);
        Log.setCorruptionPolicy(properties, Log.CorruptionPolicy.EXCEPTION);
        Log.setPurgeUptoSnapshotIndex(properties, true);
        Log.setPurgeGap(properties, 1);
        Log.Appender.setBufferByteLimit(properties, SizeInBytes.valueOf(MAX_COMMAND_BYTES));
        Log.Appender.setSnapshotChunkSizeMax(properties, SizeInBytes.valueOf(SNAPSHOT_CHUNK_BYTES));
        RaftServerConfigKeys.Write.setByteLimit(properties, SizeInBytes.valueOf(2L * MAX_COMMAND_BYTES));
        RaftServerConfigKeys.Write.setElementLimit(properties, 1024);
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(properties, false);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(properties, 2);
        RaftServerConfigKeys.ThreadPool.setServerSize(properties, 8);
        RaftServerConfigKeys.ThreadPool.setServerCached(properties, false);
        RaftServerConfigKeys.ThreadPool.setClientSize(properties, 4);
        RaftServerConfigKeys.ThreadPool.setClientCached(properties, false);
        RaftServerConfigKeys.RetryCache.setExpiryTime(properties, millis(60_000));
    }

    static RaftProperties clientProperties(long attemptMs) {
        RaftProperties properties = new RaftProperties();
        RaftClientConfigKeys.Rpc.setRequestTimeout(properties, millis(attemptMs));
        GrpcConfigKeys.setMessageSizeMax(properties, SizeInBytes.valueOf(64L * MIB));
        return properties;
    }

    static TimeDuration millis(long ms) {
        return TimeDuration.valueOf(ms, TimeUnit.MILLISECONDS);
    }
}
