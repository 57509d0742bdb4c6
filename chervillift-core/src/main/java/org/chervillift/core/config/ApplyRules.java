package org.chervillift.core.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.api.config.FleetConfig;

/**
 * Decides whether a configuration sheet may be applied.
 *
 * @param freeRemovalPercent the percentage of the items of one kind that may be removed without
 *     confirmation
 */
public record ApplyRules(int freeRemovalPercent) {

    private static final int HUNDRED_PERCENT = 100;

    public ApplyRules {
        Checks.inRange("freeRemovalPercent", freeRemovalPercent, 0, HUNDRED_PERCENT);
    }

    /**
     * Decides on a request to apply a sheet.
     *
     * @param base the content of the version that the plan is based on, if it is known
     */
    public ApplyDecision decide(
            ConfigState state, ApplyRequest request, Optional<FleetConfig> base) {
        ConfigHead head = state.head();
        String digest = ConfigDigest.of(request.content());
        if (digest.equals(currentDigest(state))) {
            return new ApplyDecision.AlreadyCurrent(head);
        }
        if (request.baseVersion() > head.version()) {
            return new ApplyDecision.BaseUnknown(request.baseVersion(), head);
        }
        if (request.baseVersion() < head.version()) {
            return decideOnStaleBase(state, request, digest, base);
        }
        List<ConfigChange> changes = ConfigDiff.between(state.content(), request.content());
        List<Confirmation> missing =
                new ArrayList<>(requiredConfirmations(state, request.content()));
        missing.removeIf(c -> request.confirmations().contains(c.word()));
        if (!missing.isEmpty()) {
            return new ApplyDecision.ConfirmationRequired(missing);
        }
        FleetConfig next = request.content().withVersion(head.version() + 1);
        return new ApplyDecision.Write(next, digest, changes);
    }

    /** Returns the confirmations required for a change from the current state to this content. */
    public List<Confirmation> requiredConfirmations(ConfigState state, FleetConfig content) {
        List<Confirmation> needed = new ArrayList<>();
        removalConfirmation(state.content(), content).ifPresent(needed::add);
        reversalConfirmation(state, ConfigDigest.of(content)).ifPresent(needed::add);
        return List.copyOf(needed);
    }

    private static ApplyDecision decideOnStaleBase(
            ConfigState state, ApplyRequest request, String digest, Optional<FleetConfig> base) {
        Optional<ConfigHead> sameChange =
                state.findInHistory(request.baseVersion() + 1)
                        .filter(h -> h.digest().equals(digest));
        if (sameChange.isPresent()) {
            return new ApplyDecision.Superseded(sameChange.get(), state.head());
        }
        List<ConfigChange> since =
                base.map(b -> ConfigDiff.between(b, state.content())).orElse(List.of());
        return new ApplyDecision.BaseStale(request.baseVersion(), state.head(), since);
    }

    private static String currentDigest(ConfigState state) {
        return state.head().version() == 0
                ? ConfigDigest.of(FleetConfig.EMPTY)
                : state.head().digest();
    }

    private Optional<Confirmation> removalConfirmation(FleetConfig before, FleetConfig after) {
        Map<ConfigItem.Kind, Integer> countByKind = new EnumMap<>(ConfigItem.Kind.class);
        ConfigItem.of(before).forEach(i -> countByKind.merge(i.kind(), 1, Integer::sum));
        Map<ConfigItem.Kind, Integer> removedByKind = new EnumMap<>(ConfigItem.Kind.class);
        int total = 0;
        for (ConfigChange change : ConfigDiff.between(before, after)) {
            if (change instanceof ConfigChange.Removed) {
                removedByKind.merge(change.kind(), 1, Integer::sum);
                total++;
            }
        }
        List<String> excessiveRemovals = new ArrayList<>();
        removedByKind.forEach(
                (kind, count) -> {
                    if (count > maxUnconfirmedRemovals(countByKind.get(kind))) {
                        excessiveRemovals.add(
                                count + " of " + countByKind.get(kind) + " " + kind.label());
                    }
                });
        if (excessiveRemovals.isEmpty()) {
            return Optional.empty();
        }
        String reason = "The sheet removes " + String.join(", ", excessiveRemovals) + ".";
        return Optional.of(new Confirmation("remove-" + total, reason));
    }

    /** Returns the percentage but at least one item, and never all items of the kind. */
    private int maxUnconfirmedRemovals(int count) {
        int allowed = count * freeRemovalPercent / HUNDRED_PERCENT;
        return Math.min(Math.max(1, allowed), count - 1);
    }

    private static Optional<Confirmation> reversalConfirmation(ConfigState state, String digest) {
        return state.history().stream()
                .filter(h -> h.version() < state.head().version() && h.digest().equals(digest))
                .max(Comparator.comparingLong(ConfigHead::version))
                .map(
                        h ->
                                new Confirmation(
                                        "revert-to-" + h.version(),
                                        "The sheet brings back version " + h.version() + "."));
    }
}
