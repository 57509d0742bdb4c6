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

/** Tells operators how an apply ended. */
final class ApplyAnswers {

    private static final String SAME_COMMAND_TELLS =
            " Send the same command again; it tells, and it changes nothing twice.";

    private ApplyAnswers() {}

    /** Returns the answer of a success, or throws the refusal. */
    static ConfigRoutes.Applied of(ApplyOutcome outcome) {
        return switch (outcome) {
            case ApplyOutcome.Applied a -> applied(a);
            case ApplyOutcome.NotWritten n -> notWritten(n.decision());
            case ApplyOutcome.PoolsInUse p ->
                    throw new ChervilliftException(
                            ErrorCode.POOL_IN_USE,
                            String.join(", ", p.vms()) + ". Nothing was applied.");
            case ApplyOutcome.Unavailable u -> throw unavailable(u);
        };
    }

    private static ConfigRoutes.Applied applied(ApplyOutcome.Applied a) {
        long version = a.head().version();
        List<String> lines = lines(a.changes());
        String sentence = "Version " + version + " is accepted, with " + count(lines) + ".";
        return new ConfigRoutes.Applied(version, true, a.head().operator(), lines, sentence);
    }

    private static ConfigRoutes.Applied notWritten(ApplyDecision decision) {
        return switch (decision) {
            case ApplyDecision.AlreadyCurrent a -> {
                ConfigHead head = a.head();
                String sentence =
                        "The sheet is already in force as version " + describe(head) + ".";
                yield new ConfigRoutes.Applied(
                        head.version(), false, head.operator(), List.of(), sentence);
            }
            case ApplyDecision.Superseded r ->
                    throw new ChervilliftException(
                            ErrorCode.CONFLICT,
                            "The sheet was in force as version "
                                    + describe(r.applied())
                                    + ", and version "
                                    + describe(r.current())
                                    + " has replaced it. Nothing was applied.");
            case ApplyDecision.BaseStale o -> throw outdated(o);
            case ApplyDecision.BaseUnknown u ->
                    throw new ChervilliftException(
                            ErrorCode.CONFLICT,
                            "There is no version "
                                    + u.baseVersion()
                                    + " yet; the newest is "
                                    + u.current().version()
                                    + ". Nothing was applied.");
            case ApplyDecision.ConfirmationRequired u -> throw unconfirmed(u.missing());
            case ApplyDecision.Write w ->
                    throw new ChervilliftException(ErrorCode.INTERNAL, "A write was not made.");
        };
    }

    private static ChervilliftException outdated(ApplyDecision.BaseStale o) {
        String since = String.join("\n", lines(o.changesSince()));
        return new ChervilliftException(
                ErrorCode.CONFLICT,
                "The plan was made on version "
                        + o.baseVersion()
                        + ", but version "
                        + describe(o.current())
                        + " is in force. Nothing was applied. Plan again. Changed since:\n"
                        + (since.isEmpty() ? "not known" : since));
    }

    private static ChervilliftException unconfirmed(List<Confirmation> missing) {
        boolean removal = missing.stream().anyMatch(c -> c.word().startsWith("remove-"));
        ErrorCode code = removal ? ErrorCode.REMOVAL_UNCONFIRMED : ErrorCode.REVERSAL_UNCONFIRMED;
        String words =
                missing.stream()
                        .map(c -> c.reason() + " Confirm with --confirm " + c.word() + ".")
                        .collect(Collectors.joining(" "));
        return new ChervilliftException(code, words + " Nothing was applied.");
    }

    private static ChervilliftException unavailable(ApplyOutcome.Unavailable u) {
        return u.mayBeInForce()
                ? new ChervilliftException(
                        ErrorCode.OUTCOME_UNKNOWN, u.detail() + SAME_COMMAND_TELLS)
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

    private static List<String> lines(List<ConfigChange> changes) {
        return changes.stream().map(ConfigChange::describe).toList();
    }

    private static String count(List<String> lines) {
        return lines.size() == 1 ? "1 change" : lines.size() + " changes";
    }
}
