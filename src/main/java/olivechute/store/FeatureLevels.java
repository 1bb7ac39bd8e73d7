package olivechute.store;

import java.util.Collections;
import olivechute.error.ErrorCode;
import olivechute.store.wire.Announce;

/** Keeps the group's feature level at or below the level that every announced replica supports. */
final class FeatureLevels {
    private final StoreLimits limits;

    FeatureLevels(StoreLimits limits) {
        this.limits = limits;
    }

    /** Records the feature level that a replica supports; level 0 removes the replica. */
    StoreState announce(StoreState state, Announce announcement) throws CommandRejectedException {
        KeyValidator.validate("replica name", announcement.getReplica(), limits);
        StateTransaction transaction = new StateTransaction(state, limits);
        if (announcement.getKnows() == 0) {
            transaction.announcedLevels = transaction.announcedLevels.minus(announcement.getReplica());
            return transaction.commit();
        }
        if (Integer.compareUnsigned(announcement.getKnows(), state.featureLevel()) < 0) {
            throw new CommandRejectedException(
                    ErrorCode.LEVEL_TOO_LOW,
                    "replica '" + announcement.getReplica() + "' supports level " + announcement.getKnows()
                            + ", the group is at level " + state.featureLevel());
        }
        transaction.announcedLevels =
                transaction.announcedLevels.plus(announcement.getReplica(), announcement.getKnows());
        if (transaction.announcedLevels.size() > limits.maxReplicas()) {
            throw new CommandRejectedException(
                    ErrorCode.TOO_MANY,
                    "more than " + limits.maxReplicas() + " replicas have announced a feature level");
        }
        return transaction.commit();
    }

    /** Raises the group's feature level; a level at or below the present one is accepted and changes nothing. */
    StoreState raise(StoreState state, int level) throws CommandRejectedException {
        if (Integer.compareUnsigned(level, state.featureLevel()) <= 0) {
            return state;
        }
        if (state.announcedLevels().isEmpty()) {
            throw new CommandRejectedException(ErrorCode.LEVEL_TOO_LOW, "no replica has announced a feature level");
        }
        int lowestSupported = Collections.min(state.announcedLevels().values(), Integer::compareUnsigned);
        if (Integer.compareUnsigned(lowestSupported, level) < 0) {
            throw new CommandRejectedException(
                    ErrorCode.LEVEL_TOO_LOW,
                    "level " + Integer.toUnsignedString(level) + ", but a replica supports only "
                            + Integer.toUnsignedString(lowestSupported) + ": " + state.announcedLevels());
        }
        StateTransaction transaction = new StateTransaction(state, limits);
        transaction.featureLevel(level);
        return transaction.commit();
    }
}
