package olivechute.store;

import java.util.Collections;
import olivechute.error.ErrorCode;
import olivechute.store.wire.Announce;

/** Keeps the group's feature level at or below what every replica knows. */
final class FeatureLevels {
    private final StoreLimits limits;

    FeatureLevels(StoreLimits limits) {
        this.limits = limits;
    }

    /** Notes what a replica knows; 0 strikes it off. */
    StoreState announce(StoreState state, Announce announcement) throws CommandRejectedException {
        KeyValidator.validate("replica's name", announcement.getReplica(), limits);
        StateTransaction transaction = new StateTransaction(state, limits);
        if (announcement.getKnows() == 0) {
            transaction.announcedLevels = transaction.announcedLevels.minus(announcement.getReplica());
            return transaction.commit();
        }
        if (Integer.compareUnsigned(announcement.getKnows(), state.featureLevel()) < 0) {
            throw new CommandRejectedException(
                    ErrorCode.LEVEL_TOO_LOW,
                    "replica '" + announcement.getReplica() + "' knows level " + announcement.getKnows()
                            + ", the group is at " + state.featureLevel());
        }
        transaction.announcedLevels =
                transaction.announcedLevels.plus(announcement.getReplica(), announcement.getKnows());
        if (transaction.announcedLevels.size() > limits.maxReplicas()) {
            throw new CommandRejectedException(
                    ErrorCode.TOO_MANY, "over " + limits.maxReplicas() + " replicas told their feature level");
        }
        return transaction.commit();
    }

    StoreState raise(StoreState state, int level) throws CommandRejectedException {
        if (Integer.compareUnsigned(level, state.featureLevel()) <= 0) {
            return state;
        }
        if (state.announcedLevels().isEmpty()) {
            throw new CommandRejectedException(ErrorCode.LEVEL_TOO_LOW, "no replica told which level it knows");
        }
        int lowestKnown = Collections.min(state.announcedLevels().values(), Integer::compareUnsigned);
        if (Integer.compareUnsigned(lowestKnown, level) < 0) {
            throw new CommandRejectedException(
                    ErrorCode.LEVEL_TOO_LOW,
                    "level " + Integer.toUnsignedString(level) + ", but a replica knows only "
                            + Integer.toUnsignedString(lowestKnown) + ": " + state.announcedLevels());
        }
        StateTransaction transaction = new StateTransaction(state, limits);
        transaction.featureLevel(level);
        return transaction.commit();
    }
}
