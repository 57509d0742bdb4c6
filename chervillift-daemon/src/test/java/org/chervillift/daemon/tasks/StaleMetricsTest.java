package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.chervillift.api.tasks.JobRequest.Action;
import org.junit.jupiter.api.Test;

class StaleMetricsTest extends TaskNodeTestBase {

    private static final String PENDING_SERIES = "chervillift_queue_pending_jobs{queue=\"quick\"}";

    private static String metricsText(TaskNode node) {
        return new String(node.metrics(), StandardCharsets.UTF_8);
    }

    @Test
    void queueWithoutPendingJobsIsNoLongerReported() {
        TaskNode a = startNodeAndWait("a");
        ask(a, Action.SUBMIT, JOB);
        advanceMillis(2_000);
        assertThat(metricsText(a)).contains(PENDING_SERIES + " 1.0");

        addWorker("w1", 4_000);
        advanceMillis(6_000);
        assertThat(metricsText(a)).doesNotContain(PENDING_SERIES + " 1.0");
    }

    @Test
    void formerHolderReportsNoQueues() {
        TaskNode a = startNodeAndWait("a");
        ask(a, Action.SUBMIT, JOB);
        advanceMillis(2_000);
        assertThat(metricsText(a)).contains(PENDING_SERIES);

        a.drain();
        advanceMillis(2_000);
        assertThat(metricsText(a)).doesNotContain(PENDING_SERIES);
    }
}
