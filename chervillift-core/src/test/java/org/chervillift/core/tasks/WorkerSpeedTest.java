package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.chervillift.core.tasks.RackFixture.CORE;
import static org.chervillift.core.tasks.RackFixture.NEAR;

import java.util.List;
import org.chervillift.api.tasks.RunReport;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that tasks avoid workers that have shown to be slow in this lifetime. */
class WorkerSpeedTest {

    private final RackFixture racks = new RackFixture(1, 1, 400);

    /** Three workers run ten tasks each, of which one takes twice as long. */
    @BeforeEach
    void learnSpeeds() {
        racks.slownessOf.put("near0", 2.0);
        racks.addWorkers(NEAR, 3, CORE);
        racks.fixture.accept("learned", RackFixture.step(40, 400, "", false));
        racks.runUntil(14_000);
        assertThat(racks.doneAt).hasSize(40);
    }

    private List<String> workersOf(int tasks) {
        racks.fixture.accept("next" + tasks, RackFixture.step(tasks, 400, "", false));
        return racks.plan().stream().map(Order.Start::worker).toList();
    }

    /** Guards against a slow worker that is chosen while another one has room. */
    @Test
    void aSlowWorkerIsUsedOnlyIfNoOtherHasRoom() {
        assertThat(workersOf(2)).containsExactly("near1", "near2");
        assertThat(workersOf(1)).containsExactly("near0");
    }

    /** Guards against a replaced server that is avoided for the speed of the former one. */
    @Test
    void theSpeedIsForgottenWithTheLifetime() {
        for (long bornAt : List.of(5L, 6L)) {
            racks.fixture.scheduler.applyReport(
                    "near0",
                    new RunReport(bornAt, 1, List.of(), List.of(), false),
                    racks.fixture.now,
                    racks.fixture.now);
        }
        assertThat(workersOf(1)).containsExactly("near0");
    }
}
