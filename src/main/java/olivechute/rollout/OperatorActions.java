package olivechute.rollout;

import olivechute.error.ErrorCode;
import olivechute.error.RolloutException;

/** Applies an operator's pause, resume and stop to a rollout. Reached through the static methods of {@link Rollout}. */
final class OperatorActions {
    private OperatorActions() {}

    static RolloutState pause(RolloutState state, long nowMs) throws RolloutException {
        requireActive(state);
        return switch (state.phase()) {
            case ROLLING_BACK ->
                throw new RolloutException(
                        ErrorCode.CHANGE_INVALID,
                        "change " + state.spec().id() + " is being rolled back, which cannot be paused");
            case PAUSED -> state;
            default -> withPhase(state, RolloutPhase.PAUSED, nowMs, "paused by an operator", decodeEvidence(state));
        };
    }

    static RolloutState resume(RolloutState state, long nowMs) throws RolloutException {
        requireActive(state);
        return switch (state.phase()) {
            case ROLLING_BACK ->
                throw new RolloutException(
                        ErrorCode.CHANGE_INVALID,
                        "change " + state.spec().id() + " is being rolled back and cannot be resumed");
            case PAUSED -> {
                boolean started = state.stage() > 0 || !state.moved().isEmpty();
                yield withPhase(
                        state,
                        started ? RolloutPhase.MOVING : RolloutPhase.PROPOSED,
                        nowMs,
                        "resumed by an operator",
                        decodeEvidence(state));
            }
            case HELD -> approveHeldStage(state, nowMs);
            default -> state;
        };
    }

    private static RolloutState approveHeldStage(RolloutState state, long nowMs) {
        Evidence evidence = decodeEvidence(state);
        if (evidence.holdReason == Evidence.HoldReason.NO_METRICS) {
            return withPhase(
                    state, RolloutPhase.MOVING, nowMs, "continues without metrics by an operator's decision", evidence);
        }
        if (evidence.holdReason != Evidence.HoldReason.INSUFFICIENT_EVIDENCE) {
            return state;
        }
        evidence.operatorApproved = true;
        return withPhase(state, RolloutPhase.HELD, state.stageSinceMs(), "an operator lets the stage pass", evidence);
    }

    static RolloutState stop(RolloutState state, long nowMs) throws RolloutException {
        requireActive(state);
        if (state.phase() == RolloutPhase.ROLLING_BACK) {
            return state;
        }
        Evidence evidence = decodeEvidence(state);
        evidence.rollbackCause = "stopped by an operator";
        return withPhase(
                state,
                state.moved().isEmpty() ? RolloutPhase.STOPPED : RolloutPhase.ROLLING_BACK,
                nowMs,
                evidence.rollbackCause,
                evidence);
    }

    private static void requireActive(RolloutState state) throws RolloutException {
        if (state.phase().ended()) {
            throw new RolloutException(
                    ErrorCode.CHANGE_UNKNOWN, "change " + state.spec().id() + " has ended: " + state.phase());
        }
    }

    private static Evidence decodeEvidence(RolloutState state) {
        return EvidenceCodec.decode(state.evidence()).orElseGet(Evidence::new);
    }

    private static RolloutState withPhase(
            RolloutState state, RolloutPhase phase, long stageSinceMs, String reason, Evidence evidence) {
        return new RolloutState(
                state.spec(),
                phase,
                state.stage(),
                stageSinceMs,
                reason,
                state.moved(),
                EvidenceCodec.encode(evidence));
    }
}
