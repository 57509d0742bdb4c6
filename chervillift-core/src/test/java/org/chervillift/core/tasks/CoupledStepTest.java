package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.chervillift.core.tasks.RackFixture.CORE;
import static org.chervillift.core.tasks.RackFixture.FAR;
import static org.chervillift.core.tasks.RackFixture.NEAR;

import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests which racks the tasks of a tightly coupled step go to. */
class CoupledStepTest {

    private static final double FACTOR = 3;

    private final RackFixture racks = new RackFixture(FACTOR, FACTOR, 1_000);

    private Map<String, Long> countByRack() {
        return racks.rackOf.entrySet().stream()
                .filter(e -> e.getKey().job().equals("coupled"))
                .map(Map.Entry::getValue)
                .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    }

    /** Guards against a step that is spread over racks although one has room for all of it. */
    @Test
    void aStepGoesToTheRackThatHoldsAllOfIt() {
        racks.addWorkers(NEAR, 1, 2 * CORE);
        racks.addWorkers(FAR, 2, 4 * CORE);
        racks.fixture.accept("coupled", RackFixture.step(6, 1_000, "", true));
        racks.plan();
        assertThat(countByRack()).isEqualTo(Map.of(FAR, 6L));
    }

    /** Guards against a step that is spread although one rack is about to hold all of it. */
    @Test
    void aStepWaitsForARackThatIsAboutToHoldAllOfIt() {
        racks.addWorkers(NEAR, 2, 2 * CORE);
        racks.addWorkers(FAR, 1, 2 * CORE);
        racks.fixture.accept("busy", RackFixture.step(1, 1_000, NEAR, false));
        racks.plan();
        racks.fixture.now += 500;
        racks.fixture.accept("coupled", RackFixture.step(4, 1_000, "", true));
        assertThat(racks.plan()).isEmpty();
        racks.runUntil(racks.fixture.now + 700);
        assertThat(countByRack()).isEqualTo(Map.of(NEAR, 4L));
        assertThat(racks.count(SchedulerEvent.Kind.RACK_WAIT_PAID)).isEqualTo(1);
    }

    /** Guards against a wait for a rack that never holds the step, and against too many racks. */
    @Test
    void aStepThatNoRackHoldsIsSpreadOverFewRacks() {
        racks.addWorkers(NEAR, 2, CORE);
        racks.addWorkers("third", 1, CORE);
        racks.addWorkers(FAR, 2, 2 * CORE);
        racks.fixture.accept("coupled", RackFixture.step(6, 1_000, "", true));
        racks.plan();
        assertThat(countByRack()).isEqualTo(Map.of(FAR, 4L, NEAR, 2L));
    }
}
