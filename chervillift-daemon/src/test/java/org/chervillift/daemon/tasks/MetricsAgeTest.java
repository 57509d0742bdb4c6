package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.chervillift.api.tasks.JobRequest.Action;
import org.junit.jupiter.api.Test;

class MetricsAgeTest extends TaskNodeFixture {

    private static final String WAITING = "chervillift_queue_pending_jobs{queue=\"quick\"}";

    private static String metrics(TaskNode node) {
        return new String(node.metrics(), StandardCharsets.UTF_8);
    }

    @Test
    void aQueueInWhichNoJobWaitsAnyMoreIsNotShownAsWaiting() {
        TaskNode a = runningNode("a");
        ask(a, Action.SUBMIT, JOB);
        pass(2_000);
        assertThat(metrics(a)).contains(WAITING + " 1.0");

        addWorker("w1", 4_000);
        pass(6_000);
        assertThat(metrics(a)).doesNotContain(WAITING + " 1.0");
    }

    @Test
    void aFormerHolderShowsNoQueues() {
        TaskNode a = runningNode("a");
        ask(a, Action.SUBMIT, JOB);
        pass(2_000);
        assertThat(metrics(a)).contains(WAITING);

        a.drain();
        pass(2_000);
        assertThat(metrics(a)).doesNotContain(WAITING);
    }
}
