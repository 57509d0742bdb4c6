package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import org.chervillift.daemon.tasks.SoakTroubles.Kind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks under random troubles that no job runs of which the caller was told that it has not run,
 * while requests are relayed, replies of peers are lost and processes die.
 */
class RelaySoakTest {

    private static final int STEP_MILLIS = 20;
    private static final int TROUBLED_FROM = 4_000;
    private static final int TROUBLED_UNTIL = 40_000;
    private static final int END = 50_000;
    private static final Set<Kind> KINDS =
            EnumSet.of(
                    Kind.STORE_SLOW,
                    Kind.STORE_DOWN,
                    Kind.STORE_SILENT,
                    Kind.REPLIES_LOST,
                    Kind.HISTORY_LOST,
                    Kind.LINK,
                    Kind.NODE_KILLED,
                    Kind.NODE_PAUSED,
                    Kind.NODE_DRAINED,
                    Kind.NODE_DOUBLED);

    @ParameterizedTest
    @MethodSource("org.chervillift.daemon.tasks.StandstillSoakTest#seeds")
    void noRefusedJobRuns(long seed) {
        SoakWorld world = SoakWorld.withRelay(seed);
        SoakLoad load = new SoakLoad(world);
        SoakTroubles troubles = new SoakTroubles(world, KINDS);
        world.base.advance(Duration.ofSeconds(2));
        long start = world.now();
        for (int t = 0; t < END; t += STEP_MILLIS) {
            load.step(STEP_MILLIS);
            if (t >= TROUBLED_FROM && t < TROUBLED_UNTIL) {
                troubles.step(STEP_MILLIS, start + TROUBLED_UNTIL);
            }
            world.base.advance(Duration.ofMillis(STEP_MILLIS));
        }

        assertThat(load.jobs().stream().filter(j -> j.isRefused() && j.hasStarted()))
                .as("seed %d, troubles %s", seed, troubles.history())
                .extracting(SoakJob::id)
                .isEmpty();
        assertThat(world.peers.answered()).as("relayed requests").isPositive();
    }
}
