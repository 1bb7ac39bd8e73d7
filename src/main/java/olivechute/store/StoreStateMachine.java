package olivechute.store;

import olivechute.error.ErrorCode;
import olivechute.error.StoreException;
import olivechute.store.wire.Command;
import olivechute.store.wire.Query;
import olivechute.store.wire.Reply;

/**
 * Deterministic state machine of the store: computes the next state and the reply from a state and a command. Time
 * comes only from commands, and nothing depends on randomness or on the machine it runs on, so all replicas that apply
 * the same log have equal states. Performs no I/O; safe for use by several threads.
 */
public final class StoreStateMachine {
    /** Highest feature level that this program supports. */
    public static final int SUPPORTED_LEVEL = 1;

    private final StoreLimits limits;
    private final int supportedLevel;
    private final BatchExecutor batchExecutor;
    private final LeaseManager leaseManager;
    private final FeatureLevels featureLevels;

    /** Creates a state machine that supports this program's feature level. */
    public StoreStateMachine(StoreLimits limits) {
        this(limits, SUPPORTED_LEVEL);
    }

    /** Creates a state machine; {@code supportedLevel} is the highest feature level that it understands. */
    public StoreStateMachine(StoreLimits limits, int supportedLevel) {
        this.limits = limits;
        this.supportedLevel = supportedLevel;
        batchExecutor = new BatchExecutor(limits);
        leaseManager = new LeaseManager(limits);
        featureLevels = new FeatureLevels(limits);
    }

    /** Returns the limits on what the store holds. */
    public StoreLimits limits() {
        return limits;
    }

    /** Returns the highest feature level that this state machine understands. */
    public int supportedLevel() {
        return supportedLevel;
    }

    /**
     * Applies a command: ends the leases that have expired by its clock, then executes or rejects it. A command above
     * the group's feature level, or of an unknown kind, is rejected with LEVEL_TOO_LOW and does not even advance the
     * clock.
     *
     * @param index the command's log index, which the next state carries
     * @throws StoreException LEVEL_TOO_LOW if the group's feature level is above the supported one; the replica must
     *     stop then, since its decisions could differ from those of the others from here on
     */
    public CommandResult apply(StoreState state, Command command, long index) throws StoreException {
        if (state.featureLevel() > supportedLevel) {
            throw new StoreException(
                    ErrorCode.LEVEL_TOO_LOW,
                    "this program supports level " + supportedLevel + ", the group is at level "
                            + state.featureLevel());
        }
        StoreState current = withIndex(state, index);
        try {
            checkLevel(current, command);
            current = leaseManager.advance(current, command.getNowMs());
            StoreState next = execute(current, command);
            return new CommandResult(next, buildReply(next, command));
        } catch (CommandRejectedException e) {
            return new CommandResult(
                    current,
                    Reply.newBuilder()
                            .setVersion(current.version())
                            .setRefusal(e.rejection())
                            .build());
        }
    }

    /**
     * Answers a query from a state, without waiting for changes in the case of a watch. The reply to {@code status}
     * lacks the fields that only the replica itself knows.
     */
    public Reply query(StoreState state, Query query) {
        if (Integer.compareUnsigned(query.getLevel(), supportedLevel) <= 0) {
            switch (query.getWhatCase()) {
                case GET -> {
                    return QueryExecutor.get(state, query.getGet());
                }
                case LIST -> {
                    return QueryExecutor.list(state, query.getList());
                }
                case WATCH -> {
                    return QueryExecutor.watch(
                            state,
                            query.getWatch().getPrefix(),
                            query.getWatch().getSince());
                }
                case STATUS -> {
                    return QueryExecutor.status(state, supportedLevel);
                }
                default -> {}
            }
        }
        return StoreMessages.rejection(
                ErrorCode.LEVEL_TOO_LOW,
                "query of level " + Integer.toUnsignedString(query.getLevel()) + ", which level " + supportedLevel
                        + " does not support",
                state.version());
    }

    private static void checkLevel(StoreState state, Command command) throws CommandRejectedException {
        if (Integer.compareUnsigned(command.getLevel(), state.featureLevel()) > 0) {
            throw new CommandRejectedException(
                    ErrorCode.LEVEL_TOO_LOW,
                    "command of level " + Integer.toUnsignedString(command.getLevel()) + ", the group is at level "
                            + state.featureLevel());
        }
        if (command.getWhatCase() == Command.WhatCase.WHAT_NOT_SET) {
            throw new CommandRejectedException(
                    ErrorCode.LEVEL_TOO_LOW,
                    "command of a kind that level " + state.featureLevel() + " does not support");
        }
    }

    private StoreState execute(StoreState state, Command command) throws CommandRejectedException {
        return switch (command.getWhatCase()) {
            case BATCH -> batchExecutor.apply(state, command.getBatch());
            case ACQUIRE -> leaseManager.acquire(state, command.getAcquire());
            case RENEW -> leaseManager.renew(state, command.getRenew().getSession());
            case RELEASE -> leaseManager.release(state, command.getRelease().getSession());
            case ANNOUNCE -> featureLevels.announce(state, command.getAnnounce());
            case RAISE -> featureLevels.raise(state, command.getRaise().getLevel());
            case TICK, WHAT_NOT_SET -> state;
        };
    }

    private static Reply buildReply(StoreState state, Command command) {
        Reply.Builder reply = Reply.newBuilder().setVersion(state.version());
        if (command.hasAcquire()) {
            reply.setLease(
                    state.leases().findByName(command.getAcquire().getName()).toMessage());
        } else if (command.hasRenew()) {
            reply.setLease(state.leases()
                    .findBySession(command.getRenew().getSession())
                    .toMessage());
        }
        return reply.build();
    }

    private static StoreState withIndex(StoreState state, long index) {
        return new StoreState(
                index,
                state.version(),
                state.clockMs(),
                state.featureLevel(),
                state.entries(),
                state.totalBytes(),
                state.keysBySession(),
                state.leases(),
                state.fences(),
                state.announcedLevels(),
                state.history());
    }
}
