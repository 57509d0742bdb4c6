package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.junit.jupiter.api.Test;

/** Checks that a deployment without an address for peers works as before the relay existed. */
class RelayOffTest {

    private static final String JOB = "5c0e7a21d94b36f8";

    /**
     * Recorded on 5b76cd4, the last commit without the relay; the admission of jobs, which has come
     * since, reads the holder's figures once for the job that is handed in.
     */
    private static final Map<String, Integer> CALLS_WITHOUT_RELAY =
            Map.of(
                    "commit jobs", 1,
                    "follow holder", 20,
                    "follow op", 9,
                    "scan held", 1,
                    "scan holder", 26,
                    "scan op", 1,
                    "scan progress", 1);

    private final NodeFixture fixture = new NodeFixture();

    @Test
    void theSameCallsAreMadeAsWithoutTheRelay() {
        fixture.addVm("v1");
        RejectingStore ofB = new RejectingStore(fixture.store);
        fixture.startNodeAndWait("a");
        TaskNode b = fixture.startNodeAndWait("b", ofB);
        assertThat(fixture.ask(b, Action.SUBMIT, JOB)).isInstanceOf(JobAnswer.Accepted.class);
        fixture.advanceMillis(2_000);
        assertThat(fixture.ask(b, Action.READ, JOB)).isInstanceOf(JobAnswer.State.class);
        ofB.setRejecting(true);
        fixture.advanceMillis(3_000);
        assertThat(fixture.ask(b, Action.SUBMIT, JOB)).isInstanceOf(JobAnswer.Unavailable.class);
        ofB.setRejecting(false);
        fixture.advanceMillis(1_000);

        assertThat(ofB.calls()).isEqualTo(CALLS_WITHOUT_RELAY);
    }
}
