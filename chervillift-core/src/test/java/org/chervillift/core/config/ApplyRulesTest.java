package org.chervillift.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.Team;
import org.junit.jupiter.api.Test;

class ApplyRulesTest {

    private static final ApplyRules RULES = new ApplyRules(10);

    @Test
    void writesTheNextVersionWhenTheBaseIsCurrent() {
        ApplyDecision decision = decide(state(4, 20), 20 + 1, 4, Set.of());

        assertThat(decision).isInstanceOf(ApplyDecision.Write.class);
        ApplyDecision.Write write = (ApplyDecision.Write) decision;
        assertThat(write.next().version()).isEqualTo(5);
        assertThat(write.changes())
                .extracting(ConfigChange::describe)
                .hasSize(1)
                .first()
                .asString()
                .startsWith("add team t20");
    }

    @Test
    void aStaleBaseReportsTheChangesSinceThePlan() {
        ApplyDecision decision =
                RULES.decide(
                        state(5, 20),
                        new ApplyRequest(teams(22), 4, Set.of()),
                        Optional.of(teams(19)));

        assertThat(decision).isInstanceOf(ApplyDecision.BaseStale.class);
        assertThat(((ApplyDecision.BaseStale) decision).changesSince())
                .extracting(ConfigChange::name)
                .containsExactly("t19");
    }

    @Test
    void aRepeatedChangeIsNotWrittenAgain() {
        assertThat(decide(state(5, 20), 20, 4, Set.of()))
                .isInstanceOf(ApplyDecision.AlreadyCurrent.class);
        ConfigState later = new ConfigState(head(6, 21), teams(21).withVersion(6), heads(5, 20));
        assertThat(decide(later, 20, 4, Set.of()))
                .isEqualTo(new ApplyDecision.Superseded(head(5, 20), head(6, 21)));
    }

    @Test
    void aLargeRemovalRequiresConfirmation() {
        assertThat(decide(state(4, 20), 18, 4, Set.of())).isInstanceOf(ApplyDecision.Write.class);
        assertThat(decide(state(4, 20), 17, 4, Set.of()))
                .isInstanceOf(ApplyDecision.ConfirmationRequired.class);
        assertThat(decide(state(4, 20), 17, 4, Set.of("remove-2")))
                .isInstanceOf(ApplyDecision.ConfirmationRequired.class);
        assertThat(decide(state(4, 20), 17, 4, Set.of("remove-3")))
                .isInstanceOf(ApplyDecision.Write.class);
        assertThat(decide(state(4, 1), 0, 4, Set.of()))
                .isInstanceOf(ApplyDecision.ConfirmationRequired.class);
    }

    @Test
    void revertingToAnEarlierVersionRequiresConfirmation() {
        ConfigState state = new ConfigState(head(6, 21), teams(21).withVersion(6), heads(5, 20));

        assertThat(decide(state, 20, 6, Set.of()))
                .isInstanceOf(ApplyDecision.ConfirmationRequired.class);
        assertThat(decide(state, 20, 6, Set.of("revert-to-5")))
                .isInstanceOf(ApplyDecision.Write.class);
    }

    @Test
    void rejectsAnUnknownBaseVersion() {
        assertThat(decide(state(4, 20), 21, 9, Set.of()))
                .isInstanceOf(ApplyDecision.BaseUnknown.class);
    }

    @Property(seed = "6", tries = 200)
    void digestIgnoresOrderAndVersion(
            @ForAll @Size(max = 8) List<@IntRange(min = 0, max = 30) Integer> limits,
            @ForAll @IntRange(min = 0, max = 9) int version) {
        List<Team> teams = new ArrayList<>();
        for (int i = 0; i < limits.size(); i++) {
            teams.add(new Team("t" + i, 1, limits.get(i)));
        }
        FleetConfig one = config(teams);
        FleetConfig other = config(teams.reversed()).withVersion(version);

        assertThat(ConfigDigest.of(other)).isEqualTo(ConfigDigest.of(one));
        assertThat(ConfigDiff.between(one, other)).isEmpty();
    }

    @Property(seed = "7", tries = 200)
    void versionNeverDecreasesForAnyOrderOfOffers(
            @ForAll @Size(max = 30) List<@IntRange(min = 0, max = 9) Integer> offers) {
        VersionGuard guard = VersionGuard.NONE;
        long highest = 0;
        for (int offer : offers) {
            if (guard.decideOnOffer(offer, "d" + offer) instanceof VersionGuard.Adopt adopt) {
                guard = adopt.next();
            }
            highest = Math.max(highest, offer);
            assertThat(guard.version()).isEqualTo(highest);
        }
    }

    @Test
    void reportsADigestConflictForTheSameVersion() {
        VersionGuard guard = new VersionGuard(3, "x");

        assertThat(guard.decideOnOffer(3, "y"))
                .isEqualTo(new VersionGuard.DigestConflict("x", "y"));
        assertThat(guard.decideOnOffer(3, "x")).isEqualTo(new VersionGuard.Keep());
    }

    private static ApplyDecision decide(
            ConfigState state, int teams, long base, Set<String> confirmations) {
        return RULES.decide(
                state, new ApplyRequest(teams(teams), base, confirmations), Optional.empty());
    }

    private static ConfigState state(long version, int teams) {
        return new ConfigState(head(version, teams), teams(teams).withVersion(version), List.of());
    }

    private static List<ConfigHead> heads(long version, int teams) {
        return List.of(head(version, teams));
    }

    private static ConfigHead head(long version, int teams) {
        String digest = ConfigDigest.of(teams(teams));
        return new ConfigHead(version, "config/" + version, digest, "ann", 0);
    }

    private static FleetConfig teams(int count) {
        return config(IntStream.range(0, count).mapToObj(i -> new Team("t" + i, 1, 5)).toList());
    }

    private static FleetConfig config(List<Team> teams) {
        return new FleetConfig(0, teams, List.of(), List.of(), List.of(), List.of());
    }
}
