package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.chervillift.daemon.tasks.SoakTroubles.Kind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Hands in jobs of random sizes around what fits in a row of the store, and beyond, under troubles.
 *
 * <p>No job may be told as failed for its size, no task may run twice, and the jobs of others go on
 * beside it.
 */
class JobSizeSoakTest {

    private static final int STEP_MILLIS = 20;
    private static final int LOOK_MILLIS = 500;
    private static final int LARGE_JOBS_FROM = 1_000;
    private static final int TROUBLED_FROM = 3_000;
    private static final int TROUBLED_UNTIL = 20_000;
    private static final int LOAD_UNTIL = 24_000;
    private static final int END = 60_000;
    private static final Duration HISTORY = Duration.ofSeconds(20);
    private static final Set<Kind> TROUBLES =
            EnumSet.of(
                    Kind.STORE_SLOW,
                    Kind.STORE_DOWN,
                    Kind.STORE_SILENT,
                    Kind.REPLIES_LOST,
                    Kind.WORKER_RESTARTED,
                    Kind.WORKER_REPLACED,
                    Kind.NODE_KILLED,
                    Kind.NODE_PAUSED,
                    Kind.NODE_DRAINED);

    @ParameterizedTest
    @MethodSource("org.chervillift.daemon.tasks.StandstillSoakTest#seeds")
    void noJobIsToldAsFailedForItsSize(long seed) {
        SoakWorld world = new SoakWorld(seed);
        world.store.keepHistory(HISTORY);
        SoakLoad load = new SoakLoad(world);
        SoakTroubles troubles = new SoakTroubles(world, TROUBLES);
        SoakCheck check = new SoakCheck(world, load);
        world.base.advance(Duration.ofSeconds(2));
        List<String> sizes = run(world, load, troubles, check);
        assertThat(check.violationsAtEnd())
                .as("seed %d, jobs %s, troubles %s", seed, sizes, troubles.history())
                .isEmpty();
    }

    /** Returns the sizes of the large jobs. */
    private static List<String> run(
            SoakWorld world, SoakLoad load, SoakTroubles troubles, SoakCheck check) {
        SoakLargeJobs largeJobs = new SoakLargeJobs(world.random, world.now());
        long start = world.now();
        for (int t = 0; t < END; t += STEP_MILLIS) {
            if (t < LOAD_UNTIL) {
                load.step(STEP_MILLIS);
            }
            if (t == LARGE_JOBS_FROM) {
                largeJobs.draw().forEach(load::submit);
            }
            if (t >= TROUBLED_FROM && t < TROUBLED_UNTIL) {
                troubles.step(STEP_MILLIS, start + TROUBLED_UNTIL);
            }
            if (t == TROUBLED_UNTIL) {
                troubles.restoreConfiguration();
            }
            world.base.advance(Duration.ofMillis(STEP_MILLIS));
            if (t % LOOK_MILLIS == 0) {
                check.look(troubles.calmMillis());
            }
        }
        return largeJobs.sizes();
    }
}
