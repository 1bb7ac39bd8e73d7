package olivechute.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import olivechute.error.ErrorCode;
import olivechute.error.RolloutException;
import olivechute.error.StoreException;
import olivechute.fleet.wire.BaseVersion;
import olivechute.fleet.wire.ChangeRecord;
import olivechute.fleet.wire.ChangeSpec;
import olivechute.fleet.wire.VersionSpec;
import olivechute.rollout.Rollout;
import olivechute.rollout.RolloutState;
import olivechute.store.Store;
import olivechute.store.Store.Write;

/**
 * Operator actions on changes, used by the {@code change} command. Each call is one conditional write based on what it
 * read, repeated a few times after conflicts with other writers. Throws {@link RolloutException} for what cannot be
 * done, and {@link StoreException} as the store reports it: LEVEL_TOO_LOW if the replicas do not know a command yet,
 * NOT_REACHED if the call may have taken effect.
 */
public final class RolloutClient {
    private static final int MAX_ATTEMPTS = 8;
    private static final Pattern VALID_ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private final Store store;
    private final LongSupplier clockMs;

    /** {@code clockMs}: ms since the epoch. */
    public RolloutClient(Store store, LongSupplier clockMs) {
        this.store = store;
        this.clockMs = clockMs;
    }

    private interface StoreOperation<T> {
        T run() throws StoreException, RolloutException;
    }

    private static <T> T retryOnConflict(String subject, StoreOperation<T> operation)
            throws StoreException, RolloutException {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try {
                return operation.run();
            } catch (StoreException e) {
                if (e.code() != ErrorCode.CONFLICT) {
                    throw e;
                }
            }
        }
        throw new StoreException(
                ErrorCode.CONFLICT, subject + ": conflicts with other writers, " + MAX_ATTEMPTS + " attempts");
    }

    /** Reads the present state of the fleet and its changes; the read is linearizable. */
    FleetState fleetState() throws StoreException {
        FleetState fleet = new FleetState();
        fleet.apply(store.list(""));
        return fleet;
    }

    /** Sets the first version of a new fleet; CHANGE_INVALID if there is a base version already. */
    public void setBaseVersion(VersionSpec version) throws StoreException, RolloutException {
        requireValidId("version", version.getId());
        retryOnConflict("the base", () -> {
            if (store.get(StoreKeys.BASE_VERSION).isPresent()) {
                throw new RolloutException(
                        ErrorCode.CHANGE_INVALID, "there is a base version already; propose a change to replace it");
            }
            return store.write(
                    List.of(
                            Write.putIf(StoreKeys.VERSION_PREFIX + version.getId(), version.toByteArray(), 0),
                            Write.putIf(
                                    StoreKeys.BASE_VERSION,
                                    BaseVersion.newBuilder()
                                            .setVersion(version.getId())
                                            .build()
                                            .toByteArray(),
                                    0)),
                    List.of());
        });
    }

    /**
     * Begins a change from the base to a new version, which inherits the fields that it leaves empty from the base. One
     * of two concurrent calls is accepted. Throws CHANGE_UNDER_WAY, CHANGE_INVALID.
     */
    public ChangeRecord propose(ChangeSpec requested, VersionSpec version) throws StoreException, RolloutException {
        requireValidId("change", requested.getId());
        requireValidId("version", version.getId());
        return retryOnConflict("change " + requested.getId(), () -> {
            FleetState fleet = fleetState();
            Optional<ChangeRecord> current = fleet.currentChange();
            if (current.isPresent()) {
                throw new RolloutException(
                        ErrorCode.CHANGE_UNDER_WAY,
                        "change " + current.get().getSpec().getId());
            }
            String baseVersion = fleet.baseVersion();
            if (baseVersion == null) {
                throw new RolloutException(ErrorCode.CHANGE_INVALID, "the fleet has no base version yet; set it first");
            }
            if (fleet.version(StoreKeys.PAST_CHANGE_PREFIX + requested.getId()) != 0
                    || fleet.version(StoreKeys.VERSION_PREFIX + version.getId()) != 0) {
                throw new RolloutException(
                        ErrorCode.CHANGE_INVALID, "the id " + requested.getId() + " was used before; choose another");
            }
            long nowMs = clockMs.getAsLong();
            ChangeSpec spec = requested.toBuilder()
                    .setFromVersion(baseVersion)
                    .setToVersion(version.getId())
                    .setProposedMs(nowMs)
                    .build();
            RolloutState initialState = RolloutState.proposed(RolloutCodec.toSpec(spec), nowMs);
            List<RolloutException> errors =
                    Rollout.validate(initialState.spec(), fleet.nodes().size());
            if (!errors.isEmpty()) {
                String errorText =
                        errors.stream().map(RolloutException::subject).collect(Collectors.joining("; "));
                throw new RolloutException(ErrorCode.CHANGE_INVALID, "change " + requested.getId() + ": " + errorText);
            }
            ChangeRecord record = RolloutCodec.toRecord(
                    ChangeRecord.newBuilder().setSpec(spec).build(), initialState, nowMs, 0);
            byte[] baseValue =
                    BaseVersion.newBuilder().setVersion(baseVersion).build().toByteArray();
            store.write(
                    List.of(
                            Write.putIf(StoreKeys.CURRENT_CHANGE, record.toByteArray(), 0),
                            Write.putIf(
                                    StoreKeys.VERSION_PREFIX + version.getId(),
                                    withBaseDefaults(fleet, baseVersion, version)
                                            .toByteArray(),
                                    0),
                            // Requires that the base is still the one that was read.
                            Write.putIf(StoreKeys.BASE_VERSION, baseValue, fleet.version(StoreKeys.BASE_VERSION))),
                    List.of());
            return record;
        });
    }

    private static VersionSpec withBaseDefaults(FleetState fleet, String baseVersion, VersionSpec version)
            throws RolloutException {
        Optional<VersionSpec> baseSpec = fleet.versionSpec(baseVersion);
        VersionSpec.Builder builder = version.toBuilder();
        if (baseSpec.isPresent() && version.getProgram().isEmpty()) {
            builder.setProgram(baseSpec.get().getProgram())
                    .setDigest(baseSpec.get().getDigest());
        }
        if (baseSpec.isPresent() && version.getSettings().isEmpty()) {
            builder.setSettings(baseSpec.get().getSettings());
        }
        return builder.build();
    }

    /** Moves no further nodes until {@link #resume}; a detected regression still causes a rollback. */
    public ChangeRecord pause() throws StoreException, RolloutException {
        return updateState(Rollout::pause);
    }

    /** Continues a paused or held change. */
    public ChangeRecord resume() throws StoreException, RolloutException {
        return updateState(Rollout::resume);
    }

    /** Rolls the new nodes back to the old version. */
    public ChangeRecord stop() throws StoreException, RolloutException {
        return updateState(Rollout::stop);
    }

    private interface StateUpdate {
        RolloutState apply(RolloutState state, long nowMs) throws RolloutException;
    }

    private ChangeRecord updateState(StateUpdate update) throws StoreException, RolloutException {
        return retryOnConflict("the change under way", () -> {
            Optional<Store.Entry> entry = store.get(StoreKeys.CURRENT_CHANGE);
            if (entry.isEmpty()) {
                throw new RolloutException(ErrorCode.CHANGE_UNKNOWN, "no change is under way");
            }
            ChangeRecord previous = RolloutCodec.parse(
                    ChangeRecord.parser(), StoreKeys.CURRENT_CHANGE, entry.get().value());
            long nowMs = Math.max(clockMs.getAsLong(), previous.getUpdatedMs());
            ChangeRecord updated = RolloutCodec.toRecord(
                    previous, update.apply(RolloutCodec.toState(previous), nowMs), nowMs, previous.getFence());
            store.write(
                    List.of(Write.putIf(
                            StoreKeys.CURRENT_CHANGE,
                            updated.toByteArray(),
                            entry.get().version())),
                    List.of());
            return updated;
        });
    }

    /**
     * Removes a node that will not come back, with its order and its last metrics. CHANGE_INVALID while its supervisor
     * reports it.
     */
    public void forget(String node) throws StoreException, RolloutException {
        retryOnConflict("node " + node, () -> {
            FleetState fleet = fleetState();
            if (fleet.nodes().stream().anyMatch(n -> n.node().equals(node) && n.reachable())) {
                throw new RolloutException(
                        ErrorCode.CHANGE_INVALID,
                        "node " + node + " is reachable;" + " remove it from its supervisor's settings first");
            }
            if (fleet.version(StoreKeys.ORDER_PREFIX + node) == 0) {
                throw new RolloutException(ErrorCode.CHANGE_UNKNOWN, "there is no node " + node);
            }
            List<Write> writes = new ArrayList<>(List.of(
                    Write.delete(StoreKeys.METRICS_PREFIX + node),
                    new Write(StoreKeys.ORDER_PREFIX + node, null, fleet.version(StoreKeys.ORDER_PREFIX + node), 0)));
            Optional<ChangeRecord> current = fleet.currentChange();
            if (current.isPresent() && current.get().getMovedList().contains(node)) {
                List<String> remaining = current.get().getMovedList().stream()
                        .filter(n -> !n.equals(node))
                        .toList();
                writes.add(Write.putIf(
                        StoreKeys.CURRENT_CHANGE,
                        current.get().toBuilder()
                                .clearMoved()
                                .addAllMoved(remaining)
                                .build()
                                .toByteArray(),
                        fleet.version(StoreKeys.CURRENT_CHANGE)));
            }
            return store.write(writes, List.of());
        });
    }

    private static void requireValidId(String subject, String id) throws RolloutException {
        if (!VALID_ID.matcher(id).matches()) {
            throw new RolloutException(
                    ErrorCode.CHANGE_INVALID,
                    "the " + subject + " id '" + id + "' must be 1 to 64 letters, digits, '.', '_', '-'");
        }
    }
}
