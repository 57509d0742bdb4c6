package org.chervillift.daemon.internal.operator;

import java.time.Instant;
import java.util.List;
import java.util.stream.Collectors;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.core.config.ApplyDecision;
import org.chervillift.core.config.ConfigChange;
import org.chervillift.core.config.Confirmation;
import org.chervillift.daemon.internal.config.ApplyOutcome;

/** Converts the outcome of an apply request into the response to the operator. */
final class ApplyResponses {

    private static final String RETRY_HINT =
            " Send the same command again to learn the outcome; the change is made only once.";

    private ApplyResponses() {}

    /**
     * Returns the response if the sheet is applied, or throws the error that explains why it is
     * not.
     */
    static ConfigRoutes.ApplyResponse toResponse(ApplyOutcome outcome) {
        return switch (outcome) {
            case ApplyOutcome.Applied a -> applied(a);
            case ApplyOutcome.NotWritten n -> notWritten(n.decision());
            case ApplyOutcome.PoolsInUse p ->
                    throw new ChervilliftException(
                            ErrorCode.POOL_IN_USE,
                            String.join(", ", p.vmsWithPools()) + ". Nothing was applied.");
            case ApplyOutcome.Unavailable u -> throw unavailable(u);
        };
    }

    private static ConfigRoutes.ApplyResponse applied(ApplyOutcome.Applied a) {
        long version = a.head().version();
        List<String> lines = describeChanges(a.changes());
        String sentence = "Version " + version + " was applied with " + countChanges(lines) + ".";
        return new ConfigRoutes.ApplyResponse(version, true, a.head().operator(), lines, sentence);
    }

    private static ConfigRoutes.ApplyResponse notWritten(ApplyDecision decision) {
        return switch (decision) {
            case ApplyDecision.AlreadyCurrent a -> {
                ConfigHead head = a.head();
                String sentence =
                        "The sheet is already the current version " + describe(head) + ".";
                yield new ConfigRoutes.ApplyResponse(
                        head.version(), false, head.operator(), List.of(), sentence);
            }
            case ApplyDecision.Superseded s ->
                    throw new ChervilliftException(
                            ErrorCode.CONFLICT,
                            "The same change was made earlier as version "
                                    + describe(s.applied())
                                    + " and superseded by version "
                                    + describe(s.current())
                                    + ". Nothing was applied.");
            case ApplyDecision.BaseStale s -> throw baseStale(s);
            case ApplyDecision.BaseUnknown u ->
                    throw new ChervilliftException(
                            ErrorCode.CONFLICT,
                            "There is no version "
                                    + u.baseVersion()
                                    + " yet; the newest is "
                                    + u.current().version()
                                    + ". Nothing was applied.");
            case ApplyDecision.ConfirmationRequired c -> throw confirmationRequired(c.missing());
            case ApplyDecision.Write w ->
                    throw new ChervilliftException(
                            ErrorCode.INTERNAL, "The write was not executed.");
        };
    }

    private static ChervilliftException baseStale(ApplyDecision.BaseStale stale) {
        String changes = String.join("\n", describeChanges(stale.changesSince()));
        return new ChervilliftException(
                ErrorCode.CONFLICT,
                "The plan is based on version "
                        + stale.baseVersion()
                        + ", but version "
                        + describe(stale.current())
                        + " is current. Nothing was applied. Create a new plan. Changes since:\n"
                        + (changes.isEmpty() ? "not known" : changes));
    }

    private static ChervilliftException confirmationRequired(List<Confirmation> missing) {
        boolean removal = missing.stream().anyMatch(c -> c.word().startsWith("remove-"));
        ErrorCode code = removal ? ErrorCode.REMOVAL_UNCONFIRMED : ErrorCode.REVERSAL_UNCONFIRMED;
        String instructions =
                missing.stream()
                        .map(c -> c.reason() + " Confirm with --confirm " + c.word() + ".")
                        .collect(Collectors.joining(" "));
        return new ChervilliftException(code, instructions + " Nothing was applied.");
    }

    private static ChervilliftException unavailable(ApplyOutcome.Unavailable u) {
        return u.mayHaveTakenEffect()
                ? new ChervilliftException(ErrorCode.OUTCOME_UNKNOWN, u.detail() + RETRY_HINT)
                : new ChervilliftException(
                        ErrorCode.PLATFORM_UNAVAILABLE, u.detail() + " Nothing was applied.");
    }

    private static String describe(ConfigHead head) {
        return head.version()
                + ", applied by "
                + head.operator()
                + " at "
                + Instant.ofEpochMilli(head.appliedAtMillis());
    }

    private static List<String> describeChanges(List<ConfigChange> changes) {
        return changes.stream().map(ConfigChange::describe).toList();
    }

    private static String countChanges(List<String> lines) {
        return lines.size() == 1 ? "1 change" : lines.size() + " changes";
    }
}
