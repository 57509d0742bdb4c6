package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.platform.fleet.FleetRowCodec;
import org.junit.jupiter.api.Test;

/** Tests that no task starts by what workers said of themselves long ago. */
class StaleWorkersTest {

    private static final String JOB = "5c0e7a21d94b36f8";
    private static final Duration HEARTBEAT = Duration.ofMillis(500);
    private static final long LONGER_THAN_ANY_AGE_ALLOWED_MILLIS = 4_000;

    private final NodeFixture fixture = new NodeFixture();
    private final FaultInjectingStore faultyStore =
            new FaultInjectingStore(fixture.store, fixture.scheduler);

    @Test
    void noTaskStartsWhileChangesOfTheWorkersAreNotReceived() {
        fixture.addVm("a");
        fixture.fleet.sendHeartbeats(HEARTBEAT);
        TaskNode node = fixture.startNodeAndWait("h", faultyStore);
        faultyStore.setTableLost(new FleetRowCodec().workerTable());
        fixture.advanceMillis(LONGER_THAN_ANY_AGE_ALLOWED_MILLIS);
        assertThat(fixture.ask(node, Action.SUBMIT, JOB)).isEqualTo(new JobAnswer.Accepted());
        fixture.advanceMillis(1_000);
        assertThat(fixture.fleet.starts()).isEmpty();

        faultyStore.setTableLost("");
        fixture.advanceMillis(LONGER_THAN_ANY_AGE_ALLOWED_MILLIS);
        assertThat(fixture.fleet.starts()).hasSize(1);
    }
}
