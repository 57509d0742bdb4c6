package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.chervillift.daemon.tasks.SoakTroubles.Kind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs nodes and workers under random load and troubles, and checks that work goes on. */
class StandstillSoakTest {

    private static final double REMOTE_FACTOR = 3;
    private static final int STEP_MILLIS = 20;
    private static final int LOOK_MILLIS = 200;
    private static final long FIRST_SEED = 1;
    private static final int SEED_COUNT = 2;
    private static final List<Integer> TROUBLED_FROM = List.of(4_000, 34_000);
    private static final List<Integer> TROUBLED_UNTIL = List.of(24_000, 50_000);
    private static final int LOAD_UNTIL = 58_000;
    private static final int END = 78_000;

    static Stream<Long> seeds() {
        String range = System.getProperty("chervillift.soakSeeds", "");
        if (range.isEmpty()) {
            return LongStream.range(FIRST_SEED, FIRST_SEED + SEED_COUNT).boxed();
        }
        String[] ends = range.split("-");
        return LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[1])).boxed();
    }

    private static Set<Kind> kinds() {
        String names = System.getProperty("chervillift.soakKinds", "");
        if (names.isEmpty()) {
            return EnumSet.range(Kind.STORE_SLOW, Kind.WAVE);
        }
        return Stream.of(names.split(",")).map(Kind::valueOf).collect(Collectors.toSet());
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void workGoesOnAfterAnyTrouble(long seed) {
        checkWorkGoesOn(seed, kinds());
    }

    /** Troubles by which a process may not know of an evacuation, or an order comes late. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noTaskStartsInADataCentreThatIsEvacuatedAndWorkGoesOnAfterIt(long seed) {
        Set<Kind> kinds =
                EnumSet.of(
                        Kind.STORE_SLOW,
                        Kind.STORE_DOWN,
                        Kind.STORE_SILENT,
                        Kind.HISTORY_LOST,
                        Kind.LATE_ORDERS,
                        Kind.NODE_KILLED,
                        Kind.NODE_PAUSED,
                        Kind.EVACUATION);
        checkWorkGoesOn(seed, kinds);
    }

    /** Lists that show what was the case before a worker was back ended its runs. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noTaskRunsTwiceWhereListsAreSlowAndWorkersComeBackUnderTheirIdentifiers(long seed) {
        Set<Kind> kinds =
                EnumSet.of(
                        Kind.VM_LISTS_SLOW,
                        Kind.WORKER_RESTARTED,
                        Kind.WORKER_REPLACED,
                        Kind.WORKER_SLOW,
                        Kind.WORKER_RESETTING,
                        Kind.LATE_ORDERS,
                        Kind.NODE_KILLED,
                        Kind.NODE_PAUSED,
                        Kind.STORE_SLOW);
        checkWorkGoesOn(seed, kinds);
    }

    private static void checkWorkGoesOn(long seed, Set<Kind> kinds) {
        boolean evacuates = kinds.contains(Kind.EVACUATION);
        Duration within = evacuates ? SoakFleet.EVACUATE_WITHIN : Duration.ZERO;
        checkWorkGoesOn(seed, kinds, new SoakWorld(seed, within));
    }

    /** Steps that wait for a rack stood still, or a third run of a task was started. */
    @ParameterizedTest
    @MethodSource("seeds")
    void workGoesOnWhereStepsWaitForRacksAndHaveCopies(long seed) {
        checkWorkGoesOn(seed, kinds(), SoakWorld.withRacks(seed, REMOTE_FACTOR));
    }

    private static void checkWorkGoesOn(long seed, Set<Kind> kinds, SoakWorld world) {
        SoakLoad load = new SoakLoad(world);
        SoakTroubles troubles = new SoakTroubles(world, kinds);
        SoakCheck check = new SoakCheck(world, load);
        world.base.advance(Duration.ofSeconds(2));
        run(world, load, troubles, check);
        assertThat(check.violationsAtEnd())
                .as("seed %d, troubles %s", seed, troubles.history())
                .isEmpty();
    }

    private static void run(
            SoakWorld world, SoakLoad load, SoakTroubles troubles, SoakCheck check) {
        long start = world.now();
        for (int t = 0; t < END; t += STEP_MILLIS) {
            if (t < LOAD_UNTIL) {
                load.step(STEP_MILLIS);
            }
            for (int i = 0; i < TROUBLED_FROM.size(); i++) {
                if (t >= TROUBLED_FROM.get(i) && t < TROUBLED_UNTIL.get(i)) {
                    troubles.step(STEP_MILLIS, start + TROUBLED_UNTIL.get(i));
                }
                if (t == TROUBLED_UNTIL.get(i)) {
                    troubles.restoreConfiguration();
                }
            }
            world.base.advance(Duration.ofMillis(STEP_MILLIS));
            if (t % LOOK_MILLIS == 0) {
                check.look(troubles.calmMillis());
            }
        }
    }
}
