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
 * Decides whether a sheet may be applied.
 *
 * @param freeRemovalPercent the part of the things of one kind that may be removed without a word
 */
public record ApplyRules(int freeRemovalPercent) {

    private static final int WHOLE_PERCENT = 100;

    public ApplyRules {
        Checks.inRange("freeRemovalPercent", freeRemovalPercent, 0, WHOLE_PERCENT);
    }

    /**
     * Decides on a request.
     *
     * @param base the content of the version that the plan was made on, if it is known
     */
    public ApplyDecision decide(
            ConfigState state, ApplyRequest request, Optional<FleetConfig> base) {
        ConfigHead head = state.head();
        String digest = ConfigDigest.of(request.content());
        if (digest.equals(digestOf(state))) {
            return new ApplyDecision.AlreadyInForce(head);
        }
        if (request.baseVersion() > head.version()) {
            return new ApplyDecision.BaseUnknown(request.baseVersion(), head);
        }
        if (request.baseVersion() < head.version()) {
            return outdated(state, request, digest, base);
        }
        List<Change> changes = ConfigDiff.between(state.content(), request.content());
        List<Confirmation> missing = new ArrayList<>(confirmations(state, request.content()));
        missing.removeIf(c -> request.confirmations().contains(c.word()));
        if (!missing.isEmpty()) {
            return new ApplyDecision.Unconfirmed(missing);
        }
        FleetConfig next = request.content().withVersion(head.version() + 1);
        return new ApplyDecision.Write(next, digest, changes);
    }

    /** Returns the words that a change from the present state to this content needs. */
    public List<Confirmation> confirmations(ConfigState state, FleetConfig content) {
        List<Confirmation> needed = new ArrayList<>();
        removals(state.content(), content).ifPresent(needed::add);
        reversal(state, ConfigDigest.of(content)).ifPresent(needed::add);
        return List.copyOf(needed);
    }

    private static ApplyDecision outdated(
            ConfigState state, ApplyRequest request, String digest, Optional<FleetConfig> base) {
        Optional<ConfigHead> sameChange =
                state.earlier(request.baseVersion() + 1).filter(h -> h.digest().equals(digest));
        if (sameChange.isPresent()) {
            return new ApplyDecision.Replaced(sameChange.get(), state.head());
        }
        List<Change> since =
                base.map(b -> ConfigDiff.between(b, state.content())).orElse(List.of());
        return new ApplyDecision.BaseOutdated(request.baseVersion(), state.head(), since);
    }

    private static String digestOf(ConfigState state) {
        return state.head().version() == 0
                ? ConfigDigest.of(FleetConfig.EMPTY)
                : state.head().digest();
    }

    private Optional<Confirmation> removals(FleetConfig before, FleetConfig after) {
        Map<ConfigItem.Kind, Integer> counts = new EnumMap<>(ConfigItem.Kind.class);
        ConfigItem.of(before).forEach(i -> counts.merge(i.kind(), 1, Integer::sum));
        Map<ConfigItem.Kind, Integer> removed = new EnumMap<>(ConfigItem.Kind.class);
        int total = 0;
        for (Change change : ConfigDiff.between(before, after)) {
            if (change instanceof Change.Removed) {
                removed.merge(change.kind(), 1, Integer::sum);
                total++;
            }
        }
        List<String> tooMany = new ArrayList<>();
        removed.forEach(
                (kind, count) -> {
                    if (count > freeRemovals(counts.get(kind))) {
                        tooMany.add(count + " of " + counts.get(kind) + " " + kind.word());
                    }
                });
        if (tooMany.isEmpty()) {
            return Optional.empty();
        }
        String reason = "The sheet removes " + String.join(", ", tooMany) + ".";
        return Optional.of(new Confirmation("remove-" + total, reason));
    }

    /** One thing may go without a word, but never the last one of its kind. */
    private int freeRemovals(int count) {
        int part = count * freeRemovalPercent / WHOLE_PERCENT;
        return Math.min(Math.max(1, part), count - 1);
    }

    private static Optional<Confirmation> reversal(ConfigState state, String digest) {
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
