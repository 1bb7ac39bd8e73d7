package olivechute.store;

import olivechute.error.ErrorCode;
import olivechute.error.StoreException;
import olivechute.store.wire.Command;
import olivechute.store.wire.Query;
import olivechute.store.wire.Reply;

/**
 * The store's state machine: from a state and a command to the next state and the answer. Time comes from commands
 * alone, nothing from chance or the machine it runs on, so all replicas that apply the same log are equal. No I/O; safe
 * for use by several threads.
 */
public final class StoreStateMachine {
    /** The highest feature level that this program knows. */
    public static final int SUPPORTED_LEVEL = 1;

    private final StoreLimits limits;
    private final int supportedLevel;
    private final BatchExecutor batchExecutor;
    private final LeaseManager leaseManager;
    private final FeatureLevels featureLevels;

    /** One of this program's level. */
    public StoreStateMachine(StoreLimits limits) {
        this(limits, SUPPORTED_LEVEL);
    }

    /** {@code known}: the highest feature level that it understands. */
    public StoreStateMachine(StoreLimits limits, int supportedLevel) {
        this.limits = limits;
        this.supportedLevel = supportedLevel;
        batchExecutor = new BatchExecutor(limits);
        leaseManager = new LeaseManager(limits);
        featureLevels = new FeatureLevels(limits);
    }

    /** How much the store holds at most. */
    public StoreLimits limits() {
        return limits;
    }

    /** The highest feature level that it understands. */
    public int supportedLevel() {
        return supportedLevel;
    }

    /**
     * Applies a command: first ends the leases that ran out by its clock, then does what it says or refuses it. A
     * command above the group's level, or of a kind that it does not know, is refused as LEVEL_TOO_LOW and moves not
     * even the clock.
     *
     * @param index the command's place in the log, which the next state carries
     * @throws StoreException LEVEL_TOO_LOW where the group's level is above what this program knows: it must stop here,
     *     since from now on it might decide otherwise than the others
     */
    public CommandResult apply(StoreState state, Command command, long index) throws StoreException {
        if (state.featureLevel() > supportedLevel) {
            throw new StoreException(
                    ErrorCode.LEVEL_TOO_LOW,
                    "this program knows level " + supportedLevel + ", the group is at " + state.featureLevel());
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
     * Answers from a state; a watch is not waited for. {@code status} leaves out what only the replica itself knows.
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
                "a query of level " + Integer.toUnsignedString(query.getLevel()) + " that level " + supportedLevel
                        + " does not know",
                state.version());
    }

    private static void checkLevel(StoreState state, Command command) throws CommandRejectedException {
        if (Integer.compareUnsigned(command.getLevel(), state.featureLevel()) > 0) {
            throw new CommandRejectedException(
                    ErrorCode.LEVEL_TOO_LOW,
                    "a command of level " + Integer.toUnsignedString(command.getLevel()) + ", the group is at "
                            + state.featureLevel());
        }
        if (command.getWhatCase() == Command.WhatCase.WHAT_NOT_SET) {
            throw new CommandRejectedException(
                    ErrorCode.LEVEL_TOO_LOW,
                    "a command of a kind that level " + state.featureLevel() + " does not know");
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
